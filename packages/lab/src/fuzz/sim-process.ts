import type { Clock } from '@orioleslip/core'
import type { SimClock } from './sim-clock.js'

/** Simulated process that can be killed and frozen. All its code awaits through `enter`, which holds back a frozen or dead process. */
export type SimProcess = {
  clock: Clock
  isAlive: () => boolean
  isFrozen: () => boolean
  /** Resolves with the promise's value when the process is not frozen; never resolves once the process is dead. */
  enter: <T>(promise: PromiseLike<T>) => Promise<T>
  kill: () => void
  /** Freezes the process for `ms`; with `clockStops` its monotonic clock stops as well, as in a suspended VM. */
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
