import { systemClock, type Clock } from '@orioleslip/core'

/** What is known of the times for which this process leaves unread what has arrived on its sockets. */
export type SocketReads = {
  /** Notes that something was read; to be called first by what handles it. */
  noteRead: () => void
  /** Shortest time for which what is read now has waited, in ms; 0 outside of the reading of sockets. */
  waitedMs: () => number
  /** Longest time for which anything can have been left unread, in ms; it includes times in which nothing arrived. */
  unreadMs: () => number
}

/**
 * Creates the record of a process. It is kept in turns of the event loop: the sockets that are read in a turn had something to read when
 * the turn began. The end of a connection is read one turn after the bytes before it.
 */
export function createSocketReads (clock: Clock): SocketReads {
  let isNoted = false
  let firstReadMs: number | undefined
  let turnMs = clock.nowMs()
  let previousTurnMs = turnMs
  let earlierTurnMs = turnMs

  const endTurn = () => {
    isNoted = false
    firstReadMs = undefined
  }
  const noteTurn = () => {
    if (isNoted) return
    isNoted = true
    earlierTurnMs = previousTurnMs
    previousTurnMs = turnMs
    turnMs = clock.nowMs()
    setImmediate(endTurn)
  }
  return {
    noteRead: () => {
      noteTurn()
      firstReadMs ??= clock.nowMs()
    },
    waitedMs: () => firstReadMs === undefined ? 0 : clock.nowMs() - firstReadMs,
    unreadMs: () => {
      noteTurn()
      return clock.nowMs() - earlierTurnMs
    }
  }
}

/** The reads of this process. */
export const processReads = createSocketReads(systemClock)
