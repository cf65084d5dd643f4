import type { Clock } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { ControlLog } from '../replication/replicated-log.js'

export type BootstrapOptions = {
  log: Logger
  clock: Clock
  routes: Pick<ControlLog<never, unknown>, 'init' | 'status'>
  /** API authority of this process. */
  self: string
  /** API authorities of the seeds, the same in the settings of every control VM at the first start. */
  seeds: readonly string[]
  signal: AbortSignal
}

const RETRY_MS = 200

/**
 * Forms the log group at the first start of a fleet. Only the first seed in sorted order does so, and all seeds have to reply, so
 * that no order of starting can form two groups; the other control VMs join the group. Returns when the group exists or `signal` aborts.
 */
export async function runBootstrap ({ log, clock, routes, self, seeds, signal }: BootstrapOptions): Promise<void> {
  const members = [...seeds].sort()
  if (members[0] !== self) return
  while (!signal.aborted && routes.status().members.length === 0) {
    const res = await routes.init(members)
    if (res.isOk()) return
    log.info({ event: 'bootstrap', members, problem: res.error.message }, 'the routes log group is not formed yet; trying again')
    await clock.sleep(RETRY_MS, signal)
  }
}
