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
  let resumed: Promise<void> | undefined
  let wake = () => {}
  const nowMs = () => (stoppedSinceMs ?? clock.nowMs()) - stoppedMs
  return {
    nowMs,
    wallMs: () => clock.wallMs() + wallOffsetMs,
    sleep: async (ms, signal) => {
      const dueMs = nowMs() + ms
      do {
        await resumed
        await clock.sleep(dueMs - nowMs(), signal)
      } while (nowMs() < dueMs && signal?.aborted !== true)
    },
    stop: () => {
      if (stoppedSinceMs !== undefined) return
      stoppedSinceMs = clock.nowMs()
      resumed = new Promise((resolve) => { wake = resolve })
    },
    resume: () => {
      if (stoppedSinceMs === undefined) return
      stoppedMs += clock.nowMs() - stoppedSinceMs
      stoppedSinceMs = undefined
      resumed = undefined
      wake()
    },
    stepWall: (ms) => { wallOffsetMs += ms }
  }
}
