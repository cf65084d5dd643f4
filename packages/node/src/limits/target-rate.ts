import type { Clock, RateLoad } from '@orioleslip/core'

/** Time for which unused calls of the rate are kept, in ms; it covers the time between two ticks of the gate. */
const BURST_MS = 250
/** Calls per second that a target gets which names a lower rate, so that its responses can show the end of the limit. */
const MIN_PER_SECOND = 0.5
/** Time constant of the arrival rate, in ms. */
const ARRIVALS_MS = 1000
/** Time for which calls may wait for their turn, in ms. Longer waits would fill the callers' slots; other targets are tried instead. */
const QUEUE_MS = 100

/**
 * Rate at which the local target accepts calls, as it names it in its responses. All calls to the target pass through the node beside it,
 * so that this count alone keeps the limit for the whole fleet.
 */
export type TargetRate = {
  /** Sets the rate that the target names, in calls per second; undefined when it names none. */
  setLimit: (perSecond: number | undefined) => void
  /** Counts a call that arrives for the target, whether it is sent or not. */
  arrived: () => void
  /** True if a call may be sent now. */
  isOpen: () => boolean
  /** Counts a call that is sent. */
  sent: () => void
  /** Takes back the count of a call that was not sent after all. */
  notSent: () => void
  /** Number of calls that may wait; undefined without a limit. */
  queueBound: () => number | undefined
  /** Load for the reports to other nodes; undefined without a limit. */
  load: () => RateLoad | undefined
}

/** Creates the rate of a target that names no limit yet. */
export function createTargetRate (clock: Pick<Clock, 'nowMs'>): TargetRate {
  let perSecond: number | undefined
  let permits = 0
  let refilledMs = clock.nowMs()
  let arrivals = 0
  let decayedMs = clock.nowMs()

  const refill = (rate: number): void => {
    const nowMs = clock.nowMs()
    permits = Math.min(Math.max(1, rate * BURST_MS / 1000), permits + (nowMs - refilledMs) / 1000 * rate)
    refilledMs = nowMs
  }
  const decayArrivals = (): void => {
    const nowMs = clock.nowMs()
    arrivals *= Math.exp((decayedMs - nowMs) / ARRIVALS_MS)
    decayedMs = nowMs
  }
  return {
    setLimit: (named) => {
      const next = named === undefined ? undefined : Math.max(MIN_PER_SECOND, named)
      if (next === perSecond) return
      // Calls are in flight when a limit begins, so it begins without permits.
      if (perSecond === undefined) permits = 0
      else refill(perSecond)
      refilledMs = clock.nowMs()
      perSecond = next
    },
    arrived: () => {
      decayArrivals()
      arrivals++
    },
    isOpen: () => {
      if (perSecond === undefined) return true
      refill(perSecond)
      return permits >= 1
    },
    sent: () => { permits-- },
    notSent: () => { permits++ },
    queueBound: () => perSecond === undefined ? undefined : Math.max(1, perSecond * QUEUE_MS / 1000),
    load: () => {
      if (perSecond === undefined) return undefined
      decayArrivals()
      return { perSecond, load: arrivals / (perSecond * ARRIVALS_MS / 1000) }
    }
  }
}
