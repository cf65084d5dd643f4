import { fnv1a, type Member, type MemberRecord } from '@orioleslip/core'
import { rendezvousWeight } from './rendezvous.js'

/**
 * Chooses the nodes that keep copies under a key, which is the id of the VM or the name of the service that they belong to; neither that
 * VM nor a node of that service is among them. All nodes with the same members choose the same ones, in the same order, and few others
 * when members come or go.
 */
export function copyHolders (members: Member[], key: string, count: number): MemberRecord[] {
  const keyHash = fnv1a(key)
  const weighted = members
    .filter(({ record, liveness }) => record.role === 'node' && liveness === 'alive' && record.vmId !== key && record.target?.service !== key)
    .map(({ record }) => ({ record, weight: rendezvousWeight(keyHash, fnv1a(record.vmId)) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.record.vmId < b.record.vmId ? -1 : 1))
  return weighted.slice(0, count).map(({ record }) => record)
}
