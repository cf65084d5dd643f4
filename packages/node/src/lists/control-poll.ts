import { createControlClient, toAuthority, type SinceAnswer, type SinceInput } from '@orioleslip/control/client'
import type { Clock, ControlPeer } from '@orioleslip/core'

/** One control VM as the poller sees it. `since` rejects when there is no answer. */
export type PollTarget = {
  vmId: string
  since: (input: SinceInput, signal: AbortSignal) => Promise<SinceAnswer>
  close: () => Promise<void>
}

/** Time for which a control VM is asked to hold a poll, in ms. */
export const POLL_WAIT_MS = 3000
// Hold, answer and move to the next control VM stay within the 6 s in which an edit must be in effect, also when a VM has frozen.
const ANSWER_MARGIN_MS = 1000

/** Connects to a control VM over its API. */
export function connectPollTarget (peer: ControlPeer, fleetKey: string, clock: Clock): PollTarget {
  const { api, close } = createControlClient({
    authority: toAuthority(peer.address, peer.apiPort),
    principal: { kind: 'fleet' },
    key: fleetKey,
    clock,
    timeoutMs: POLL_WAIT_MS + ANSWER_MARGIN_MS
  })
  return { vmId: peer.vmId, since: (input, signal) => api.lists.since.query(input, { signal }), close }
}
