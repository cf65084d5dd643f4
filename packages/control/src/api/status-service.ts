import type { ReplicaStatus } from '@orioleslip/core'
import type { ResultAsync } from 'neverthrow'
import type { ControlCallError } from './client.js'
import { mergeReports, type NodeReport } from './node-reports.js'
import type { ConfirmCurrent } from './shared-confirm.js'

/** What one control VM reports about itself and the nodes that poll it. */
export type VmReport = { vmId: string, revision: number, groups: ReplicaStatus[], nodes: NodeReport[] }

export type ControlVmStatus =
  | { vmId: string, authority: string, reachable: true, revision: number, groups: ReplicaStatus[] }
  | { vmId: string, authority: string, reachable: false, reason: string }

/** A node that doesn't have the revision in effect (`behind`), or hasn't polled any reachable control VM recently (`silent`). */
export type LaggingNode = NodeReport & { reason: 'behind' | 'silent' }

export type StatusReply = {
  /** Control VM that sent this status. */
  vmId: string
  revision: number
  /** False when a later revision may be in effect. */
  confirmed: boolean
  reason?: string
  controls: ControlVmStatus[]
  nodes: NodeReport[]
  /** Nodes per revision, latest revision first. */
  inEffect: Array<{ revision: number, nodes: number }>
  lagging: LaggingNode[]
}

/** Another control VM of the fleet. */
export type Peer = { vmId: string, authority: string, report: () => ResultAsync<VmReport, ControlCallError> }

// A node polls at least every 5 s; after three missed polls it counts as silent.
const SILENT_AFTER_MS = 15_000

/** Creates the function that collects the status of all control VMs; `localReport` gives the report of this one. */
export function createStatusService (
  options: { authority: string, localReport: () => VmReport, peers: readonly Peer[], confirm: ConfirmCurrent }
): () => Promise<StatusReply> {
  const { authority, localReport, peers, confirm } = options

  async function fetchReport (peer: Peer): Promise<{ status: ControlVmStatus, nodes: NodeReport[] }> {
    const { vmId, authority } = peer
    const res = await peer.report()
    return res.match<{ status: ControlVmStatus, nodes: NodeReport[] }>(
      ({ revision, groups, nodes }) => ({ status: { vmId, authority, reachable: true, revision, groups }, nodes }),
      ({ message }) => ({ status: { vmId, authority, reachable: false, reason: message }, nodes: [] }))
  }

  return async () => {
    const [current, ...peerResults] = await Promise.all([confirm(), ...peers.map(fetchReport)])
    const { vmId, revision, groups, nodes: localNodes } = localReport()
    const nodes = mergeReports([localNodes, ...peerResults.map((result) => result.nodes)])
    const counts = new Map<number, number>()
    for (const node of nodes) counts.set(node.revision, (counts.get(node.revision) ?? 0) + 1)
    return {
      vmId,
      revision,
      confirmed: current.isOk(),
      ...(current.isErr() ? { reason: current.error.message } : {}),
      controls: [{ vmId, authority, reachable: true, revision, groups }, ...peerResults.map((result) => result.status)],
      nodes,
      inEffect: [...counts].map(([rev, count]) => ({ revision: rev, nodes: count })).sort((a, b) => b.revision - a.revision),
      lagging: nodes.flatMap((node): LaggingNode[] => {
        if (node.ageMs > SILENT_AFTER_MS) return [{ ...node, reason: 'silent' }]
        return node.revision < revision ? [{ ...node, reason: 'behind' }] : []
      })
    }
  }
}
