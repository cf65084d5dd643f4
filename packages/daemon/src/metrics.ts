import type { Settings } from '@orioleslip/core'
import type { MetricsSink } from '@orioleslip/node'
import { StatsD } from 'hot-shots'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import { createPrometheusMetrics, joinSinks, servePrometheus } from './prometheus.js'

/** Creates the StatsD client when the settings have a [metrics] table. */
function createStatsD (settings: Settings, log: Logger): StatsD | undefined {
  const { metrics, vm, role } = settings
  if (metrics === undefined) return undefined
  return new StatsD({
    host: metrics.host,
    port: metrics.port,
    prefix: metrics.prefix,
    globalTags: { vm: vm.id, region: vm.region, failure_domain: vm.failureDomain, role },
    // Metrics are best effort: a missing receiver must not disturb the process.
    errorHandler: (err) => log.debug({ err }, 'Metrics were not sent')
  })
}

/** Starts the receivers of this process's metrics that its settings ask for; they end with it. Fails when the page's port is taken. */
export async function startMetrics (settings: Settings, log: Logger): Promise<Result<MetricsSink | undefined, string>> {
  const statsD = createStatsD(settings, log)
  const page = settings.prometheus === undefined ? undefined : createPrometheusMetrics(settings)
  const served = page === undefined ? ok(() => {}) : await servePrometheus(settings, page)
  if (served.isErr()) return err(served.error)
  const sinks = [...(statsD === undefined ? [] : [statsD]), ...(page === undefined ? [] : [page.sink])]
  return ok(joinSinks(sinks))
}
