import type { Clock } from '@orioleslip/core'

/** The clock of one process. Its monotonic time and its timers stand still while its VM is suspended; its wall clock goes on. */
export type ProcessClock = Clock & {
  stop: () => void
  resume: () => void
  /** Sets the wall clock forward, or back with a negative `ms`. */
  stepWall: (ms: number) => void
}

/** Creates a clock that follows `clock`. */
export function createProcessClock (clock: Clock): ProcessClock {
  let stoppedSinceMs: number | undefined
  let stoppedMs = 0
  let wallOffsetMs = 0
  const nowMs = () => (stoppedSinceMs ?? clock.nowMs()) - stoppedMs
  return {
    nowMs,
    wallMs: () => clock.wallMs() + wallOffsetMs,
    sleep: async (ms, signal) => {
      const dueMs = nowMs() + ms
      do await clock.sleep(stoppedSinceMs === undefined ? dueMs - nowMs() : 1, signal)
      while (nowMs() < dueMs && signal?.aborted !== true)
    },
    stop: () => { stoppedSinceMs ??= clock.nowMs() },
    resume: () => {
      if (stoppedSinceMs !== undefined) stoppedMs += clock.nowMs() - stoppedSinceMs
      stoppedSinceMs = undefined
    },
    stepWall: (ms) => { wallOffsetMs += ms }
  }
}
