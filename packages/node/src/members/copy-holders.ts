import { fnv1a, type MemberRecord, type MembersView } from '@orioleslip/core'
import { rendezvousWeight } from './rendezvous.js'

/**
 * Chooses the nodes that keep copies under a key, which is the id of this VM or the name of the service that they belong to; neither this
 * node nor one of that service is among them. All other nodes with the same members choose the same ones, in the same order, and few others
 * when members come or go.
 */
export function copyHolders (members: Pick<MembersView, 'self' | 'all'>, key: string, count: number): MemberRecord[] {
  const keyHash = fnv1a(key)
  const selfId = members.self().vmId
  const weighted = members.all()
    .filter(({ record, liveness }) => record.role === 'node' && liveness === 'alive' && record.vmId !== selfId && record.target?.service !== key)
    .map(({ record }) => ({ record, weight: rendezvousWeight(keyHash, fnv1a(record.vmId)) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.record.vmId < b.record.vmId ? -1 : 1))
  return weighted.slice(0, count).map(({ record }) => record)
}
