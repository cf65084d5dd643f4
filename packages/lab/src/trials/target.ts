import type { Random } from '@orioleslip/core'
import type { SimClock } from './sim-clock.js'

/** Parameters of a simulated target; `connections` is the number of running and queued calls at which it sheds. */
export type TargetSpec = { slots: number, connections: number, workMs: number }

/** How a call at a simulated target ended; `failed` means that its downstream call failed. */
export type RunResult = 'done' | 'shed' | 'cancelled' | 'failed'

/** Simulated target: a fixed number of slots, a FIFO queue, and shedding when all connections are in use. */
export type Target = {
  run: (work: { workMs: number, signal: AbortSignal, downstream: () => Promise<boolean> }) => Promise<RunResult>
  setSlowness: (factor: number) => void
}

/** Creates a simulated target with random work times. */
export function createTarget (spec: TargetSpec, clock: SimClock, random: Random): Target {
  let slowness = 1
  let busy = 0
  const waiting = new Set<() => void>()
  const releaseSlot = () => {
    const next = waiting.values().next()
    if (next.done === true) busy--
    else {
      waiting.delete(next.value)
      next.value()
    }
  }
  const acquireSlot = (signal: AbortSignal) => new Promise<boolean>((resolve) => {
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
      if (!await acquireSlot(signal)) return 'cancelled'
      // Half of the work time is constant and half exponentially distributed: moderate variance, as for a lookup with a cache.
      await clock.sleep(workMs * slowness * (0.5 - 0.5 * Math.log(1 - random.next())), signal)
      const ok = signal.aborted ? false : await downstream()
      releaseSlot()
      if (signal.aborted) return 'cancelled'
      return ok ? 'done' : 'failed'
    }
  }
}
