import type { LoadReport, RefusalCode } from '@orioleslip/core'

/** Sink for metrics; compatible with the client of hot-shots. */
export type MetricsSink = {
  increment: (name: string, value: number, tags: Record<string, string>) => void
  timing: (name: string, ms: number, tags: Record<string, string>) => void
  gauge: (name: string, value: number) => void
}

/** Counters of a node since its start. */
export type StatsSnapshot = {
  entered: number
  completed: number
  failed: number
  refused: Partial<Record<RefusalCode, number>>
  /** Inter-region bytes of requests that entered at this node, by the result of the request. */
  regionBytesCompleted: number
  regionBytesFailed: number
  retries: number
}

/** Result of one request or call. */
export type RequestEnd = { entry: boolean, service: string, status: number, refusal?: RefusalCode, durationMs: number, regionBytes: number }

export type NodeStats = {
  requestEnded: (end: RequestEnd) => void
  retried: () => void
  snapshot: () => StatsSnapshot
}

/** Period of `reportGauges`, in ms. */
export const GAUGE_INTERVAL_MS = 1000

/** Reports the load at the gate in front of the target as gauges. */
export function reportGauges (metrics: MetricsSink | undefined, load: LoadReport): void {
  if (metrics === undefined) return
  metrics.gauge('admission_level', load.level)
  metrics.gauge('target_in_flight', load.inFlight)
  metrics.gauge('target_queued', load.queued)
  metrics.gauge('target_limit', load.limit)
  metrics.gauge('target_rate_limit', load.rate?.perSecond ?? 0)
  metrics.gauge('target_rate_load', load.rate?.load ?? 0)
}

/** Creates the counters; each change is also sent to the metrics sink, if there is one. */
export function createNodeStats (metrics: MetricsSink | undefined): NodeStats {
  const stats: StatsSnapshot = {
    entered: 0, completed: 0, failed: 0, refused: {}, regionBytesCompleted: 0, regionBytesFailed: 0, retries: 0
  }
  return {
    requestEnded: (end) => {
      const ok = end.refusal === undefined && end.status < 500
      if (end.refusal !== undefined) stats.refused[end.refusal] = (stats.refused[end.refusal] ?? 0) + 1
      metrics?.increment('calls', 1, { service: end.service, result: end.refusal ?? `${Math.floor(end.status / 100)}xx` })
      metrics?.timing('call_ms', end.durationMs, { service: end.service })
      if (!end.entry) return
      stats.entered++
      if (ok) {
        stats.completed++
        stats.regionBytesCompleted += end.regionBytes
      } else {
        stats.failed++
        stats.regionBytesFailed += end.regionBytes
      }
      if (end.regionBytes > 0) metrics?.increment('region_bytes', end.regionBytes, { result: ok ? 'completed' : 'failed' })
    },
    retried: () => {
      stats.retries++
      metrics?.increment('retries', 1, {})
    },
    snapshot: () => ({ ...stats, refused: { ...stats.refused } })
  }
}
