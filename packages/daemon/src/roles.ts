import { startControl } from '@orioleslip/control'
import { systemClock, systemRandom, type Settings } from '@orioleslip/core'
import type { MetricsSink } from '@orioleslip/node'
import { joinMembership } from '@orioleslip/node/membership'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'

/** Dependencies of a role; without `metrics`, none are sent. */
export type RoleDeps = { log: Logger, metrics?: MetricsSink }

/** A running role; `drain` resolves when no work is in flight, `stop` releases all resources. */
export type RunningRole = { drain: () => Promise<void>, stop: () => Promise<void> }

/** A role that could not start; `message` states the cause. */
export type StartError = { message: string }

/** Starts the role that the settings name. */
export async function startRole (settings: Settings, deps: RoleDeps): Promise<Result<RunningRole, StartError>> {
  switch (settings.role) {
    case 'control': {
      const control = await startControl(settings, deps)
      if (control.isErr()) return err(control.error)
      const members = await joinMembership(settings, { log: deps.log, clock: systemClock, random: systemRandom })
      members.start()
      return ok({
        // A control process has no calls in flight that take longer than its stop.
        drain: () => members.leave(),
        stop: async () => {
          members.stop()
          await control.value.stop()
        }
      })
    }
    case 'node': {
      // Imported on demand, so that control processes don't load the node's modules into memory.
      const { startNode } = await import('@orioleslip/node')
      return ok(await startNode(settings, deps))
    }
  }
}
