import { fnv1a } from '@orioleslip/core'
import type { Member, MembersView } from '@orioleslip/core'
import { rendezvousWeight } from '../members/rendezvous.js'

const MAX_CACHED_OWNERS = 20_000

/** Assignment of customers to the nodes that own their quotas. */
export type Owners = {
  /** VM id of the owner of the customer's quota; undefined while no node is known. */
  ownerOf: (customer: string) => string | undefined
  /** Share of the known nodes that is alive, in (0, 1]. Suspects don't count as alive, so that the error is on the low side. */
  visibleFraction: () => number
  /** Number of nodes in the member table, failed ones included. */
  knownNodes: () => number
}

type Snapshot = { candidates: Array<{ vmId: string, salt: number }>, fraction: number, known: number }

function snapshotOf (members: Member[]): Snapshot {
  const nodes = members.filter(({ record, liveness }) => record.role === 'node' && liveness !== 'left')
  const alive = nodes.filter(({ liveness }) => liveness === 'alive')
  // A suspect is replaced as owner immediately; its customers would have only the small fallback shares until it is declared failed.
  const ready = alive.filter(({ record }) => record.target?.state === 'ready')
  const candidates = (ready.length > 0 ? ready : alive).map(({ record: { vmId } }) => ({ vmId, salt: fnv1a(vmId) }))
  const known = Math.max(1, nodes.length)
  return { candidates, fraction: Math.max(1, alive.length) / known, known }
}

function rendezvousOwner (customer: string, { candidates }: Snapshot): string | undefined {
  const customerHash = fnv1a(customer)
  let best: string | undefined
  let bestWeight = -1
  for (const { vmId, salt } of candidates) {
    const candidateWeight = rendezvousWeight(customerHash, salt)
    // Ties are broken by VM id, so that all nodes choose the same owner.
    if (candidateWeight > bestWeight || (candidateWeight === bestWeight && best !== undefined && vmId < best)) {
      best = vmId
      bestWeight = candidateWeight
    }
  }
  return best
}

/** Creates the assignment and keeps it in step with the member table; `onOwnersChanged` runs after each change of the candidates. */
export function createOwners (members: MembersView, onOwnersChanged: () => void): Owners {
  let snapshot = snapshotOf(members.all())
  let ownerCache = new Map<string, string | undefined>()

  members.onChange(() => {
    const before = snapshot.candidates
    snapshot = snapshotOf(members.all())
    const ids = new Set(before.map(({ vmId }) => vmId))
    if (before.length === snapshot.candidates.length && snapshot.candidates.every(({ vmId }) => ids.has(vmId))) return
    ownerCache = new Map()
    onOwnersChanged()
  })

  return {
    ownerOf: (customer) => {
      const known = ownerCache.get(customer)
      if (known !== undefined) return known
      const owner = rendezvousOwner(customer, snapshot)
      // Bounds the memory for customers that send only once; the other owners are recomputed.
      if (ownerCache.size >= MAX_CACHED_OWNERS) ownerCache = new Map()
      ownerCache.set(customer, owner)
      return owner
    },
    visibleFraction: () => snapshot.fraction,
    knownNodes: () => snapshot.known
  }
}
