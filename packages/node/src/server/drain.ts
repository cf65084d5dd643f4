import { notRun, type Clock, type Refusal } from '@orioleslip/core'
import type { InboundCalls } from '../calls/inbound-calls.js'
import type { Announcement } from '../target/local-target.js'

/** Time that the fleet needs to learn that a target leaves; afterwards the node turns new work away. */
export const LEAVE_SPREAD_MS = 3000

/** Whether this node takes new work for its target and new requests from callers. */
export type Availability = {
  /** A refusal for new calls to the target; undefined while it takes them. */
  targetClosed: () => Refusal | undefined
  /** A refusal for requests that enter here; undefined while they are taken. */
  entryClosed: () => Refusal | undefined
  stopping: () => boolean
  /** Starts the planned stop of this node. */
  stop: () => void
  announced: (state: Announcement['state']) => void
}

/** Tracks the planned stop of this node and the announced state of its target, which takes new work for `leaveSpreadMs` after it leaves. */
export function createAvailability (clock: Clock, leaveSpreadMs = LEAVE_SPREAD_MS): Availability {
  let stoppedMs: number | undefined
  let leavingMs: number | undefined
  let state: Announcement['state'] | undefined
  const past = (sinceMs: number | undefined, spreadMs: number) => sinceMs !== undefined && clock.nowMs() - sinceMs >= spreadMs
  return {
    targetClosed: () => {
      if (past(stoppedMs, leaveSpreadMs)) return notRun('draining', 'the node is stopping', 1)
      if (past(leavingMs, leaveSpreadMs)) return notRun('draining', 'the target is leaving', 1)
      if (state === 'starting') return notRun('no-target', 'the target is starting', 1)
      return undefined
    },
    entryClosed: () => past(stoppedMs, LEAVE_SPREAD_MS) ? notRun('draining', 'the node is stopping', 1) : undefined,
    stopping: () => stoppedMs !== undefined,
    stop: () => { stoppedMs ??= clock.nowMs() },
    announced: (announced) => {
      state = announced
      if (announced !== 'leaving') leavingMs = undefined
      else leavingMs ??= clock.nowMs()
    }
  }
}

/** What a drain waits for. */
export type OpenWork = { inbound: InboundCalls, openRequests: () => number }

const POLL_MS = 20

/** Waits until no call is in flight; gives the number of calls that were left when the time was up. */
export async function waitForOpenWork ({ inbound, openRequests }: OpenWork, timeoutMs: number, clock: Clock): Promise<number> {
  const endMs = clock.nowMs() + timeoutMs
  const open = () => inbound.size() + openRequests()
  while (open() > 0 && clock.nowMs() < endMs) await clock.sleep(POLL_MS)
  return open()
}
