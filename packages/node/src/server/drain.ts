import { createCanceller, notRun, type CancelSignal, type Clock, type Refusal } from '@orioleslip/core'
import type { InboundCalls } from '../calls/inbound-calls.js'
import type { Announcement } from '../target/local-target.js'

/** Time in which the state of a leaving target reaches all nodes, in ms; afterwards the node refuses new calls. */
export const LEAVE_DISSEMINATION_MS = 3000
/**
 * Time for which a stopping node accepts requests from callers, in ms. Callers find out within two readiness checks, one a second; the node
 * may handle the signal to stop late, and what it accepts has to end within the drain.
 */
const ENTRY_ACCEPT_MS = 2500

/** Whether this node accepts new calls to its target and new requests from callers. */
export type Availability = {
  /** Refusal for new calls to the target; undefined while it accepts them. */
  targetRefusal: () => Refusal | undefined
  /** Refusal for accepted calls that have not been sent to the target yet; undefined while they may be sent. */
  sendRefusal: () => Refusal | undefined
  /** Refusal for new requests from callers; undefined while they are accepted. */
  entryRefusal: () => Refusal | undefined
  stopping: () => boolean
  /** Starts the planned stop of this node. */
  stop: () => void
  /** Records the state that the target has announced. */
  setTargetState: (state: Announcement['state']) => void
  /** Aborts when calls that have not been sent to a target are taken back. */
  recalled: CancelSignal
  /** Takes back the calls that have not been sent to a target. */
  recall: () => void
  /** Aborts when the drain ends: what has no response yet is answered as of unknown outcome. */
  drainEnded: CancelSignal
  endDrain: () => void
  /** Ends the acceptance of calls to a leaving target at once. */
  targetLeft: () => void
}

/**
 * Tracks the planned stop of this node and the announced state of its target. Calls to the target are still accepted for `leaveSpreadMs`
 * after the stop began or the target announced that it is leaving.
 */
export function createAvailability (clock: Clock, leaveSpreadMs = LEAVE_DISSEMINATION_MS): Availability {
  let stoppedMs: number | undefined
  let leavingMs: number | undefined
  let state: Announcement['state'] | undefined
  const recalled = createCanceller()
  const drainEnded = createCanceller()
  const hasElapsed = (sinceMs: number | undefined, delayMs: number) => sinceMs !== undefined && clock.nowMs() - sinceMs >= delayMs
  const sendRefusal = () => hasElapsed(leavingMs, leaveSpreadMs) ? notRun('draining', 'the target is leaving', 1) : undefined
  return {
    targetRefusal: () => {
      if (hasElapsed(stoppedMs, leaveSpreadMs)) return notRun('draining', 'the node is stopping', 1)
      if (state === 'starting') return notRun('no-target', 'the target is starting', 1)
      return sendRefusal()
    },
    sendRefusal,
    entryRefusal: () => hasElapsed(stoppedMs, ENTRY_ACCEPT_MS) ? notRun('draining', 'the node is stopping', 1) : undefined,
    stopping: () => stoppedMs !== undefined,
    stop: () => { stoppedMs ??= clock.nowMs() },
    setTargetState: (announcedState) => {
      state = announcedState
      if (announcedState !== 'leaving') leavingMs = undefined
      else leavingMs ??= clock.nowMs()
    },
    recalled: recalled.signal,
    recall: recalled.abort,
    drainEnded: drainEnded.signal,
    endDrain: drainEnded.abort,
    targetLeft: () => { leavingMs = -Infinity }
  }
}

/** Open calls and requests that a drain waits for. */
export type OpenWork = { inbound: InboundCalls, openRequests: () => number }

const POLL_MS = 20

/** Waits until no call is in flight; resolves with the number of calls still open at the timeout, or 0. */
export async function waitForOpenWork ({ inbound, openRequests }: OpenWork, timeoutMs: number, clock: Clock): Promise<number> {
  const endMs = clock.nowMs() + timeoutMs
  const open = () => inbound.size() + openRequests()
  while (open() > 0 && clock.nowMs() < endMs) await clock.sleep(POLL_MS)
  return open()
}
