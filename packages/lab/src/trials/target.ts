import type { Random } from '@orioleslip/core'
import type { SimClock } from './sim-clock.js'

export type TargetSpec = { slots: number, connections: number, workMs: number }

export type RunResult = 'done' | 'shed' | 'cancelled' | 'failed'

/** Simulated target: a fixed number of slots, a first-in first-out queue, and shedding beyond its connections. */
export type Target = {
  run: (work: { workMs: number, signal: AbortSignal, downstream: () => Promise<boolean> }) => Promise<RunResult>
  setSlowness: (factor: number) => void
}

export function createTarget (spec: TargetSpec, clock: SimClock, random: Random): Target {
  let slowness = 1
  let busy = 0
  const waiting = new Set<() => void>()
  const free = () => {
    const next = waiting.values().next()
    if (next.done === true) busy--
    else {
      waiting.delete(next.value)
      next.value()
    }
  }
  const slot = (signal: AbortSignal) => new Promise<boolean>((resolve) => {
    if (busy < spec.slots) {
      busy++
      return resolve(true)
    }
    const start = () => { resolve(true) }
    waiting.add(start)
    signal.addEventListener('abort', () => { if (waiting.delete(start)) resolve(false) }, { once: true })
  })
  return {
    setSlowness: (factor) => { slowness = factor },
    run: async ({ workMs, signal, downstream }) => {
      if (busy + waiting.size >= spec.connections) return 'shed'
      if (!await slot(signal)) return 'cancelled'
      // Half of the work is fixed and half exponential: moderate variance, as for a lookup with a cache.
      await clock.sleep(workMs * slowness * (0.5 - 0.5 * Math.log(1 - random.next())), signal)
      const ok = signal.aborted ? false : await downstream()
      free()
      if (signal.aborted) return 'cancelled'
      return ok ? 'done' : 'failed'
    }
  }
}
