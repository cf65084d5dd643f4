import type { Clock } from '@orioleslip/core'

/** State that a node reported in its last poll. */
export type NodeReport = {
  vmId: string
  /** Revision in effect on the node; -1 before it has any. */
  revision: number
  /** `address:port` of the node's caller listener, when the node sends it. */
  callerAddress?: string
  /** Time since the poll, in ms. */
  ageMs: number
}

export type NodeReports = {
  report: (vmId: string, revision: number, callerAddress: string | undefined) => void
  list: () => NodeReport[]
}

// Equal to FORGET_FAILED_MS of the nodes, after which they forget a failed member, so that both views agree on which nodes exist.
const REPORT_TTL_MS = 600_000
// The design scale is 770 nodes; the limit stops a faulty node that reports made-up VM ids from growing the table without bound.
const MAX_REPORTS = 10_000

/** Creates the table of the latest report of each node that polls this control VM. */
export function createNodeReports (clock: Clock): NodeReports {
  const reports = new Map<string, { revision: number, callerAddress: string | undefined, atMs: number }>()

  function evictOld (): void {
    for (const [vmId, { atMs }] of reports) {
      if (clock.nowMs() - atMs <= REPORT_TTL_MS && reports.size <= MAX_REPORTS) break
      reports.delete(vmId)
    }
  }

  return {
    report: (vmId, revision, callerAddress) => {
      // Deleting first keeps the map ordered by age.
      reports.delete(vmId)
      reports.set(vmId, { revision, callerAddress, atMs: clock.nowMs() })
      evictOld()
    },
    list: () => {
      evictOld()
      return [...reports].map(([vmId, { revision, callerAddress, atMs }]) => ({
        vmId, revision, ...(callerAddress === undefined ? {} : { callerAddress }), ageMs: Math.round(clock.nowMs() - atMs)
      }))
    }
  }
}

/** Merges the reports of several control VMs, keeping the latest one of each node, sorted by VM id. */
export function mergeReports (lists: readonly NodeReport[][]): NodeReport[] {
  const latest = new Map<string, NodeReport>()
  for (const report of lists.flat()) {
    const known = latest.get(report.vmId)
    if (known === undefined || report.ageMs < known.ageMs) latest.set(report.vmId, report)
  }
  return [...latest.values()].sort((a, b) => (a.vmId < b.vmId ? -1 : 1))
}
