import type { Clock } from '@orioleslip/core'
import type { VmReport } from './api/status-service.js'

/** The part of a metrics sink that the control process uses. */
export type Metrics = { gauge: (name: string, value: number) => void }

const METRICS_INTERVAL_MS = 10_000

/** Sends the state of a control VM to the metrics sink, every 10 s until `signal` aborts. */
export async function runMetrics (report: () => Omit<VmReport, 'vmId'>, metrics: Metrics | undefined, clock: Clock, signal: AbortSignal): Promise<void> {
  if (metrics === undefined) return
  while (!signal.aborted) {
    const { revision, groups, nodes } = report()
    metrics.gauge('control.revision', revision)
    metrics.gauge('control.polling_nodes', nodes.length)
    metrics.gauge('control.heap_used_bytes', process.memoryUsage().heapUsed)
    for (const { group, role, term, commitIndex, logBytes } of groups) {
      metrics.gauge(`control.${group}.leader`, role === 'leader' ? 1 : 0)
      metrics.gauge(`control.${group}.term`, term)
      metrics.gauge(`control.${group}.commit_index`, commitIndex)
      metrics.gauge(`control.${group}.log_bytes`, logBytes)
    }
    await clock.sleep(METRICS_INTERVAL_MS, signal)
  }
}
