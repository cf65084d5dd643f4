import type { Settings } from '@orioleslip/core'
import type { MetricsSink } from '@orioleslip/node'
import { StatsD } from 'hot-shots'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import { createPrometheusMetrics, combineSinks, servePrometheus } from './prometheus.js'

/** Creates the StatsD client; undefined when the settings have no [metrics] table. */
function createStatsD (settings: Settings, log: Logger): StatsD | undefined {
  const { metrics, vm, role } = settings
  if (metrics === undefined) return undefined
  return new StatsD({
    host: metrics.host,
    port: metrics.port,
    prefix: metrics.prefix,
    globalTags: { vm: vm.id, region: vm.region, failure_domain: vm.failureDomain, role },
    // Metrics are best effort: an unreachable receiver must not affect the process.
    errorHandler: (err) => log.debug({ err }, 'Sending metrics to the StatsD receiver failed')
  })
}

/** Starts the metrics sinks enabled in the settings; they run until the process exits. Fails when the Prometheus port is taken. */
export async function startMetrics (settings: Settings, log: Logger): Promise<Result<MetricsSink | undefined, string>> {
  const statsD = createStatsD(settings, log)
  const prometheus = settings.prometheus === undefined ? undefined : createPrometheusMetrics(settings)
  const stopServer = prometheus === undefined ? ok(() => {}) : await servePrometheus(settings, prometheus)
  if (stopServer.isErr()) return err(stopServer.error)
  const sinks = [...(statsD === undefined ? [] : [statsD]), ...(prometheus === undefined ? [] : [prometheus.sink])]
  return ok(combineSinks(sinks))
}
