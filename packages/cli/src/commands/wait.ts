import type { StatusAnswer } from '@orioleslip/control/client'
import type { Clock } from '@orioleslip/core'
import { ok, type Result } from 'neverthrow'
import type { ControlCalls } from '../control-calls.js'
import type { CliError } from '../exit-codes.js'

// An edit is in effect within 6 s; a node that is silent longer than 15 s is reported as such.
const WAIT_MS = 20_000
const INTERVAL_MS = 500

export type Waited = { complete: boolean, text: string, json: { nodes: number, lagging: string[] } }

/** Waits until all polling nodes have a revision, for at most 20 s. */
export async function waitForRevision (calls: ControlCalls, revision: number, clock: Clock): Promise<Result<Waited, CliError>> {
  const endMs = clock.nowMs() + WAIT_MS
  for (;;) {
    const status = await calls.ask<StatusAnswer>((api) => api.status.query() as Promise<StatusAnswer>)
    if (status.isErr()) return status.map(() => ({ complete: false, text: '', json: { nodes: 0, lagging: [] } }))
    const { nodes } = status.value
    const lagging = nodes.filter((node) => node.revision < revision).map(({ vmId }) => vmId)
    if (lagging.length === 0) return ok({ complete: true, text: `in effect on all ${nodes.length} nodes`, json: { nodes: nodes.length, lagging } })
    if (clock.nowMs() >= endMs) {
      return ok({
        complete: false,
        text: `in effect on ${nodes.length - lagging.length} of ${nodes.length} nodes; lagging: ${lagging.slice(0, 20).join(', ')}`,
        json: { nodes: nodes.length, lagging }
      })
    }
    await clock.sleep(INTERVAL_MS)
  }
}
