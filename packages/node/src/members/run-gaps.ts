import type { Clock } from '@orioleslip/core'

/** Times in which this process did not run, for example because it was suspended. */
export type RunGaps = {
  /** Notes that the process runs; to be called at short intervals. */
  ran: () => void
  /** Time since the last call of `ran`, in ms. */
  sinceLastMs: () => number
  /** Longest gap between two calls of `ran`, or since the last one, that ended after `sinceMs` of the clock, in ms. */
  longestMs: (sinceMs: number) => number
}

/** Shortest gap that is kept, in ms. */
const MIN_GAP_MS = 500
const MAX_GAPS = 16

/** Creates the record of a process that runs now. */
export function createRunGaps (clock: Clock): RunGaps {
  const gaps: Array<{ endMs: number, durationMs: number }> = []
  let lastMs = clock.nowMs()
  return {
    ran: () => {
      const nowMs = clock.nowMs()
      const durationMs = nowMs - lastMs
      lastMs = nowMs
      if (durationMs < MIN_GAP_MS) return
      gaps.push({ endMs: nowMs, durationMs })
      if (gaps.length > MAX_GAPS) gaps.shift()
    },
    sinceLastMs: () => clock.nowMs() - lastMs,
    longestMs: (sinceMs) => gaps
      .filter(({ endMs }) => endMs > sinceMs)
      .reduce((longest, { durationMs }) => Math.max(longest, durationMs), clock.nowMs() - lastMs)
  }
}
