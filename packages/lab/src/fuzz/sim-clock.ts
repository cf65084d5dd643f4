import type { Clock } from '@orioleslip/core'

/** Clock that moves only in `advance`, which lets every task run until it waits before time moves on. */
export type SimClock = Clock & { advance: (ms: number) => Promise<void> }

// One turn of the event loop drains the whole microtask queue, however long the promise chains are.
const runPendingTasks = () => new Promise<void>((resolve) => setImmediate(resolve))

/** Creates a simulated clock; sleepers that are due at the same time wake in the order in which they began to sleep. */
export function createSimClock (startMs: number): SimClock {
  let now = startMs
  // Sorted by due time.
  const sleepers: Array<{ dueMs: number, wake: () => void }> = []

  function add (sleeper: { dueMs: number, wake: () => void }) {
    let at = sleepers.length
    while (at > 0 && sleepers[at - 1]!.dueMs > sleeper.dueMs) at--
    sleepers.splice(at, 0, sleeper)
  }

  return {
    nowMs: () => now,
    wallMs: () => now,
    sleep: (ms, signal) => new Promise((resolve) => {
      if (signal?.aborted) return resolve()
      const wake = () => {
        signal?.removeEventListener('abort', abort)
        resolve()
      }
      const sleeper = { dueMs: now + Math.max(0, ms), wake }
      const abort = () => {
        const at = sleepers.indexOf(sleeper)
        if (at >= 0) sleepers.splice(at, 1)
        resolve()
      }
      add(sleeper)
      signal?.addEventListener('abort', abort, { once: true })
    }),
    advance: async (ms) => {
      const endMs = now + ms
      await runPendingTasks()
      while (sleepers.length > 0 && sleepers[0]!.dueMs <= endMs) {
        const next = sleepers.shift()!
        now = next.dueMs
        next.wake()
        await runPendingTasks()
      }
      now = endMs
    }
  }
}
