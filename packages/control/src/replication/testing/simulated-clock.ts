import type { Clock } from '@orioleslip/core'

/** A clock that advances only when all tasks wait; unlike the one in core it lets chains of promises of any length finish. */
export type SimulatedClock = Clock & { advance: (ms: number) => Promise<void> }

/** Creates a clock at time 0. */
export function createSimulatedClock (): SimulatedClock {
  let nowMs = 0
  let sleepers: Array<{ dueMs: number, wake: () => void }> = []
  const settle = () => new Promise<void>((resolve) => { setImmediate(resolve) })
  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: (ms, signal) => new Promise((resolve) => {
      if (signal?.aborted) return resolve()
      const sleeper = { dueMs: nowMs + Math.max(0, ms), wake: resolve }
      sleepers.push(sleeper)
      signal?.addEventListener('abort', () => {
        sleepers = sleepers.filter((other) => other !== sleeper)
        resolve()
      }, { once: true })
    }),
    advance: async (ms) => {
      const endMs = nowMs + ms
      for (;;) {
        await settle()
        const dueMs = Math.min(...sleepers.map((sleeper) => sleeper.dueMs))
        if (dueMs > endMs) break
        nowMs = dueMs
        const due = sleepers.filter((sleeper) => sleeper.dueMs === dueMs)
        sleepers = sleepers.filter((sleeper) => sleeper.dueMs !== dueMs)
        for (const { wake } of due) wake()
      }
      nowMs = endMs
    }
  }
}
