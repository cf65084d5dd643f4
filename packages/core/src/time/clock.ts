import type { CancelSignal } from './cancel.js'

/** Source of time; tests use `createFakeClock`. */
export type Clock = {
  /** Monotonic time in ms; only differences are meaningful. */
  nowMs: () => number
  /** Wall-clock time in ms since the Unix epoch; for audit records and logs, never for ordering. */
  wallMs: () => number
  /** Resolves after `ms`, or as soon as `signal` aborts. */
  sleep: (ms: number, signal?: CancelSignal) => Promise<void>
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: (ms, signal) => new Promise((resolve) => {
    if (signal?.aborted) return resolve()
    const done = () => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', done)
      resolve()
    }
    const timer = setTimeout(done, ms)
    signal?.addEventListener('abort', done, { once: true })
  })
}

/** A clock that advances only when `advance` is called; sleeping tasks wake in order of their due time. */
export type FakeClock = Clock & {
  advance: (ms: number) => Promise<void>
}

/** Creates a fake clock for tests. */
export function createFakeClock (startMs = 0): FakeClock {
  let now = startMs
  let sleepers: Array<{ dueMs: number, wake: () => void }> = []
  const flushMicrotasks = async () => { for (let i = 0; i < 10; i++) await Promise.resolve() }
  return {
    nowMs: () => now,
    wallMs: () => now,
    sleep: (ms, signal) => new Promise((resolve) => {
      if (signal?.aborted) return resolve()
      const wake = () => {
        sleepers = sleepers.filter((other) => other !== sleeper)
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      const sleeper = { dueMs: now + ms, wake }
      sleepers.push(sleeper)
      signal?.addEventListener('abort', wake, { once: true })
    }),
    advance: async (ms) => {
      const endMs = now + ms
      await flushMicrotasks()
      for (;;) {
        const next = sleepers.filter((s) => s.dueMs <= endMs).sort((a, b) => a.dueMs - b.dueMs)[0]
        if (next === undefined) break
        now = next.dueMs
        next.wake()
        await flushMicrotasks()
      }
      now = endMs
    }
  }
}
