import type { Clock } from '@orioleslip/core'
import type { SimClock } from './sim-clock.js'

/** A process that can be killed and frozen. Its code runs only after a wait that passes `enter`. */
export type SimProcess = {
  clock: Clock
  isAlive: () => boolean
  isFrozen: () => boolean
  /** Result of a promise as the process sees it: after a freeze, and never once the process is dead. */
  enter: <T>(promise: PromiseLike<T>) => Promise<T>
  kill: () => void
  /** Freezes for `ms`; with `clockStops` its monotonic clock stands still, as that of a suspended VM. */
  freeze: (ms: number, clockStops: boolean) => void
}

/** Creates a process whose wall clock differs from the simulated one by `wallSkewMs`. */
export function createSimProcess (sim: SimClock, wallSkewMs: number): SimProcess {
  const state: { alive: boolean, thaw?: Promise<void> | undefined } = { alive: true }
  let stoppedMs = 0

  async function enter<T> (promise: PromiseLike<T>): Promise<T> {
    const value = await promise
    while (state.alive && state.thaw !== undefined) await state.thaw
    if (!state.alive) return await new Promise<never>(() => {})
    return value
  }

  return {
    clock: {
      nowMs: () => sim.nowMs() - stoppedMs,
      wallMs: () => sim.wallMs() + wallSkewMs,
      sleep: (ms, signal) => enter(sim.sleep(ms, signal))
    },
    isAlive: () => state.alive,
    isFrozen: () => state.thaw !== undefined,
    enter,
    kill: () => { state.alive = false },
    freeze: (ms, clockStops) => {
      if (state.thaw !== undefined) return
      state.thaw = sim.sleep(ms).then(() => {
        state.thaw = undefined
        if (clockStops) stoppedMs += ms
      })
    }
  }
}
