import type { Clock } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { Members } from '../members/members.js'
import { LEAVE_SPREAD_MS, waitForOpenWork, type Availability, type OpenWork } from './drain.js'

export type PlannedStopOptions = {
  availability: Availability
  members: Members
  openWork: OpenWork
  /** Publishes the local target as leaving. */
  announceLeaving: () => void
  /** Resolves when the key register has every finished run. */
  recordsWritten: () => Promise<void>
  /** Stops accepting callers; resolves when their open requests have ended. */
  requestsEnded: () => Promise<void>
  /** Longest wait for calls in flight, in s. */
  drainTimeoutS: number
  clock: Clock
  log: Logger
  /** Frees everything; calls still in flight are cut. */
  stop: () => Promise<void>
}

/** Longest wait for runs that the key register has not recorded yet, in ms. */
const RECORD_PATIENCE_MS = 5000
/** Longest wait for requests that arrived while the node left the membership, in ms. */
const CLOSE_PATIENCE_MS = 1000

/** Creates the planned stop of a node: no new work, calls in flight complete, then the node leaves the fleet. */
export function createPlannedStop (options: PlannedStopOptions): () => Promise<void> {
  const { availability, members, openWork, drainTimeoutS, clock, log } = options
  return async () => {
    log.info({ event: 'drain', drainTimeoutS }, 'planned stop: the target is announced as leaving')
    availability.stop()
    options.announceLeaving()
    await clock.sleep(LEAVE_SPREAD_MS)
    // The last state spreads while calls end, so that the whole stop stays short.
    const gone = members.leave()
    const left = await waitForOpenWork(openWork, drainTimeoutS * 1000, clock)
    if (left > 0) log.warn({ event: 'drain', left, drainTimeoutS }, 'the drain timeout has passed; calls in flight are cut; raise node.drainTimeoutS')
    await Promise.race([options.recordsWritten(), clock.sleep(RECORD_PATIENCE_MS)])
    await gone
    // Requests that came since are being refused; cutting them would hide from callers that they did not run.
    await Promise.race([options.requestsEnded(), clock.sleep(CLOSE_PATIENCE_MS)])
    await options.stop()
    log.info({ event: 'stop' }, 'node stopped')
  }
}
