import type { MemberRecord } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

/** Chooses up to `size` of the candidates: always the same ones at one node, others at other nodes. */
export type Subset = (candidates: readonly MemberRecord[], size: number) => MemberRecord[]

const MAX_RANKS = 10_000

/**
 * Creates the subset of the node `self` by rendezvous hashing. A node that sent its few calls to another region to any of dozens of targets
 * would open a link, which takes several round trips between regions, for almost every call. Over many nodes the targets are chosen evenly.
 */
export function createSubset (self: () => string): Subset {
  const ranks = new LRUCache<string, number>({ max: MAX_RANKS })
  const rankOf = (vmId: string): number => {
    const known = ranks.get(vmId)
    if (known !== undefined) return known
    const rank = hash(`${self()} ${vmId}`)
    ranks.set(vmId, rank)
    return rank
  }
  return (candidates, size) => {
    if (candidates.length <= size) return [...candidates]
    return [...candidates].sort((a, b) => rankOf(a.vmId) - rankOf(b.vmId)).slice(0, size)
  }
}

/** 32-bit FNV-1a hash, with a final mix because ids of VMs differ only in their last characters. */
function hash (text: string): number {
  let value = 0x811c9dc5
  for (let i = 0; i < text.length; i++) value = Math.imul(value ^ text.charCodeAt(i), 0x01000193)
  value = Math.imul(value ^ (value >>> 16), 0x45d9f3b)
  return (value ^ (value >>> 16)) >>> 0
}
