import { performance } from 'node:perf_hooks'
import { systemClock, type Clock } from '@orioleslip/core'

/** What is known of the times for which this process leaves unread what has arrived on its sockets. */
export type SocketReads = {
  /** Notes that the event loop runs; to be called at short intervals while nothing is read. */
  noteTurn: () => void
  /** Notes that something was read; to be called first by what handles it. */
  noteRead: () => void
  /** Notes that a connection was accepted, on which bytes, and its end, may have waited since before that. */
  noteAccepted: () => void
  /** Shortest time for which what was last noted as read in this turn had waited, in ms; 0 outside of the reading of sockets. */
  waitedMs: () => number
  /** Longest time for which anything can have been left unread, in ms; it includes times in which nothing arrived. */
  unreadMs: () => number
  /** Resolves once what has arrived by now has been read; undefined if nothing can have been left unread for long. */
  caughtUp: () => Promise<void> | undefined
}

/** Longest time for which sockets are left unread before work waits for them, in ms: less than half a second at the two nodes of a call. */
const UNREAD_LIMIT_MS = 240
/** Time for which work that has waited goes on before the sockets are read again, in ms. */
const WORK_LIMIT_MS = 100
/** Part of the time between two turns for which the event loop has to have slept, as a sign that nothing was left to read. */
const IDLE_SHARE = 0.5

/** Number of turns until the first bytes of an accepted connection, and its end behind them, have been read. */
const ACCEPT_TURNS = 3

/** Resolves after the sockets of this turn of the event loop have been read. */
const socketsRead = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** Time for which the event loop of this process has slept since the start, in ms. */
const loopIdleMs = (): number => performance.nodeTiming.idleTime

/**
 * Creates the record of a process. It is kept in turns of the event loop: the sockets that are read in a turn had something to read when
 * the turn began. The end of a connection is read one turn after the bytes before it. An event loop that sleeps has left nothing unread.
 */
export function createSocketReads (clock: Clock, idleMs = loopIdleMs): SocketReads {
  let isNoted = false
  let firstReadMs: number | undefined
  let lastReadMs = 0
  let turnMs = clock.nowMs()
  let previousTurnMs = turnMs
  let earlierTurnMs = turnMs
  let turnIdleMs = idleMs()
  /** All that had arrived by then has been read. */
  let readUpToMs = turnMs
  /** The connections accepted in the last `acceptTurns` turns had not been waiting then. */
  let acceptedSinceMs = Infinity
  let acceptTurns = 0

  const endTurn = () => {
    isNoted = false
    firstReadMs = undefined
    if (acceptTurns > 0 && --acceptTurns === 0) acceptedSinceMs = Infinity
  }
  const noteTurn = () => {
    if (isNoted) return
    isNoted = true
    earlierTurnMs = previousTurnMs
    previousTurnMs = turnMs
    turnMs = clock.nowMs()
    const sleptMs = idleMs() - turnIdleMs
    turnIdleMs += sleptMs
    if (sleptMs > (turnMs - previousTurnMs) * IDLE_SHARE) readUpToMs = Math.max(readUpToMs, previousTurnMs)
    setImmediate(endTurn)
  }
  const unreadMs = () => {
    noteTurn()
    return clock.nowMs() - Math.min(acceptedSinceMs, Math.max(earlierTurnMs, readUpToMs))
  }
  // Work that waits here goes on in the order in which it came, until it has taken the limit; then the sockets are read again. A turn may
  // take longer than the limit, so that the limit grows with each one.
  const catchUp = async () => {
    await socketsRead()
    for (let limitMs = WORK_LIMIT_MS; ; limitMs *= 2) {
      const sinceMs = clock.nowMs()
      await socketsRead()
      readUpToMs = Math.max(readUpToMs, sinceMs)
      if (clock.nowMs() - sinceMs <= limitMs) return
    }
  }
  return {
    noteTurn,
    noteRead: () => {
      noteTurn()
      lastReadMs = clock.nowMs()
      firstReadMs ??= lastReadMs
    },
    waitedMs: () => firstReadMs === undefined ? 0 : lastReadMs - firstReadMs,
    noteAccepted: () => {
      noteTurn()
      acceptedSinceMs = Math.min(acceptedSinceMs, Math.max(earlierTurnMs, readUpToMs))
      acceptTurns = ACCEPT_TURNS
    },
    unreadMs,
    caughtUp: () => unreadMs() > UNREAD_LIMIT_MS ? catchUp() : undefined
  }
}

/** The reads of this process. */
export const processReads = createSocketReads(systemClock)
