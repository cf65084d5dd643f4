import type { Clock } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { Members } from '../members/members.js'
import { LEAVE_DISSEMINATION_MS, waitForOpenWork, type Availability, type OpenWork } from './drain.js'

export type PlannedStopOptions = {
  availability: Availability
  members: Members
  openWork: OpenWork
  /** Announces the local target as leaving, and to callers that their next requests belong to other nodes. */
  announceLeaving: () => void
  /** Resolves when the key register has recorded every finished run. */
  recordsWritten: () => Promise<void>
  /** Stops accepting callers; resolves when their open requests have ended. */
  requestsEnded: () => Promise<void>
  /** Time for which the signal to stop has probably waited until this process handled it, in ms. */
  signalDelayMs: () => number
  /** Longest wait for calls in flight after the leave has been disseminated, in seconds. */
  drainTimeoutS: number
  clock: Clock
  log: Logger
  /** Releases all resources; calls still in flight are aborted. */
  stop: () => Promise<void>
}

/**
 * Longest delay of the signal by which the drain is shortened, in ms. The delay is an estimate; beyond this, calls might be aborted while
 * their targets still have time.
 */
const MAX_SIGNAL_DELAY_MS = 500
/** Part of the drain in which calls may still be sent to their targets; the rest is for those that are at work there. */
const SEND_SHARE = 0.5
/** Longest wait until the key register has recorded the finished runs, in ms. */
const RECORD_TIMEOUT_MS = 5000
/**
 * Longest wait for requests that arrived while the node was leaving the fleet, in ms, and the part of it that may come after the end of the
 * drain: whoever stops the process may end it soon after.
 */
const CLOSE_TIMEOUT_MS = 1000
const CLOSE_AFTER_DRAIN_MS = 200

/**
 * Creates the planned stop of a node: new calls are refused, those that still wait for a target later in the drain are taken back and
 * refused, calls at their targets complete, those without a response at the end of the drain are answered as of unknown outcome, then the
 * node leaves the fleet.
 */
export function createPlannedStop (options: PlannedStopOptions): () => Promise<void> {
  const { availability, members, openWork, drainTimeoutS, clock, log } = options
  return async () => {
    const signalDelayMs = options.signalDelayMs()
    log.info({ event: 'drain', drainTimeoutS, signalDelayMs: Math.round(signalDelayMs) }, 'planned stop: the target is announced as leaving')
    availability.stop()
    options.announceLeaving()
    await clock.sleep(LEAVE_DISSEMINATION_MS)
    // The node's last state is disseminated while calls complete, which keeps the stop short.
    const leaving = members.leave()
    // Whoever stops the process counts its time from the signal.
    const drainMs = Math.max(0, drainTimeoutS * 1000 - Math.min(MAX_SIGNAL_DELAY_MS, signalDelayMs))
    const drainEndMs = clock.nowMs() + drainMs
    const waiting = await waitForOpenWork(openWork, drainMs * SEND_SHARE, clock)
    if (waiting > 0) log.info({ event: 'drain', left: waiting, drainTimeoutS }, 'calls that have not been sent to a target are refused as not run')
    availability.recall()
    const left = await waitForOpenWork(openWork, drainEndMs - clock.nowMs(), clock)
    if (left > 0) log.warn({ event: 'drain', left, drainTimeoutS }, 'the drain timeout has passed; calls in flight are aborted; raise node.drainTimeoutS')
    availability.endDrain()
    await Promise.race([options.recordsWritten(), clock.sleep(RECORD_TIMEOUT_MS)])
    await leaving
    // Requests that arrived since then are being refused; closing their connections would hide from callers that they did not run.
    const closeMs = Math.max(CLOSE_AFTER_DRAIN_MS, Math.min(CLOSE_TIMEOUT_MS, drainEndMs - clock.nowMs()))
    await Promise.race([options.requestsEnded(), clock.sleep(closeMs)])
    await options.stop()
    log.info({ event: 'stop' }, 'node stopped')
  }
}
