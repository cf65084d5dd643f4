import type { StatusReply } from '@orioleslip/control/client'
import type { Clock } from '@orioleslip/core'
import { ok, type Result } from 'neverthrow'
import type { ControlCalls } from '../control-calls.js'
import type { CliError } from '../exit-codes.js'

// An edit takes effect on all nodes within 6 s, and a node that has not polled for 15 s is reported as silent; the wait exceeds both.
const MAX_WAIT_MS = 20_000
const POLL_INTERVAL_MS = 500

/** Result of a wait; `complete` when all nodes have the revision. */
export type WaitResult = { complete: boolean, text: string, json: { nodes: number, lagging: string[] } }

/** Waits until all nodes that poll a control VM have a revision, for at most 20 s. */
export async function waitForRevision (calls: ControlCalls, revision: number, clock: Clock): Promise<Result<WaitResult, CliError>> {
  const endMs = clock.nowMs() + MAX_WAIT_MS
  for (;;) {
    const status = await calls.request<StatusReply>((api) => api.status.query() as Promise<StatusReply>)
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
    await clock.sleep(POLL_INTERVAL_MS)
  }
}
