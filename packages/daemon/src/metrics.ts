import type { Settings } from '@orioleslip/core'
import { StatsD } from 'hot-shots'
import type { Logger } from 'pino'

/** Creates the StatsD client when the settings have a [metrics] table. */
export function createMetrics (settings: Settings, log: Logger): StatsD | undefined {
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
