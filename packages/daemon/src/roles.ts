import { startControl } from '@orioleslip/control'
import type { Settings } from '@orioleslip/core'
import type { StatsD } from 'hot-shots'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'

export type RoleDeps = { log: Logger, metrics?: StatsD }

/** A started role; `drain` ends when no work is left, `stop` frees everything. */
export type RunningRole = { drain: () => Promise<void>, stop: () => Promise<void> }

export type StartError = { message: string }

type StartNode = (settings: Settings, deps: RoleDeps) => Promise<RunningRole>

/** Starts the role that the settings name. */
export async function startRole (settings: Settings, deps: RoleDeps): Promise<Result<RunningRole, StartError>> {
  switch (settings.role) {
    case 'control': {
      const control = await startControl(settings, deps)
      // A control process has no calls in flight that outlast its stop.
      return control.map(({ stop }) => ({ drain: () => Promise.resolve(), stop }))
    }
    case 'node': {
      // Loaded on demand, so that control processes hold none of the node's modules in memory.
      const { startNode } = await import('@orioleslip/node') as { startNode?: StartNode }
      if (startNode === undefined) return err({ message: 'this build has no node role; install a complete build' })
      return ok(await startNode(settings, deps))
    }
  }
}
