import { fnv1a, type Member, type MemberRecord } from '@orioleslip/core'
import { rendezvousWeight } from './rendezvous.js'

/**
 * Chooses the nodes that keep copies for a VM, of any service and failure domain. All nodes with the same members choose the same ones, in
 * the same order, and few others when members come or go.
 */
export function copyHolders (members: Member[], vmId: string, count: number): MemberRecord[] {
  const vmHash = fnv1a(vmId)
  const weighted = members
    .filter(({ record, liveness }) => record.role === 'node' && liveness === 'alive' && record.vmId !== vmId)
    .map(({ record }) => ({ record, weight: rendezvousWeight(vmHash, fnv1a(record.vmId)) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.record.vmId < b.record.vmId ? -1 : 1))
  return weighted.slice(0, count).map(({ record }) => record)
}
