import type { Clock } from '@orioleslip/core'

/** Times in which this process did not run, for example because it was suspended. */
export type RunGaps = {
  /** Notes that the process runs; to be called at short intervals. */
  ran: () => void
  /** Time since the last call of `ran`, in ms. */
  sinceLastMs: () => number
  /** Time by which this process is late for a call of `ran`, or was for the one just made, in ms; they are due every `intervalMs`. */
  lateMs: (intervalMs: number) => number
  /** Longest gap between two calls of `ran`, or since the last one, that ended after `sinceMs` of the clock, in ms. */
  longestMs: (sinceMs: number) => number
}

/** Shortest gap that is kept, in ms. */
const MIN_GAP_MS = 500
const MAX_GAPS = 16
/** Time after a late call of `ran` in which what waited as long may still be handled, in ms. */
const RECENT_MS = 50

/** Creates the record of a process that runs now. */
export function createRunGaps (clock: Clock): RunGaps {
  const gaps: Array<{ endMs: number, durationMs: number }> = []
  let lastMs = clock.nowMs()
  let lastDurationMs = 0
  return {
    ran: () => {
      const nowMs = clock.nowMs()
      const durationMs = nowMs - lastMs
      lastMs = nowMs
      lastDurationMs = durationMs
      if (durationMs < MIN_GAP_MS) return
      gaps.push({ endMs: nowMs, durationMs })
      if (gaps.length > MAX_GAPS) gaps.shift()
    },
    sinceLastMs: () => clock.nowMs() - lastMs,
    lateMs: (intervalMs) => {
      const sinceMs = clock.nowMs() - lastMs
      return Math.max(0, sinceMs - intervalMs, sinceMs <= RECENT_MS ? lastDurationMs - intervalMs : 0)
    },
    longestMs: (sinceMs) => gaps
      .filter(({ endMs }) => endMs > sinceMs)
      .reduce((longest, { durationMs }) => Math.max(longest, durationMs), clock.nowMs() - lastMs)
  }
}
