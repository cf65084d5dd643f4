import type { Clock } from '@orioleslip/core'

/** Shortest and longest time after which a refused caller is told to return, in s. */
const MIN_RETURN_S = 1
const MAX_RETURN_S = 5

/**
 * Creates the function that returns the `Retry-After` of a caller that was refused because of a rate limit, in s. Refused callers get
 * consecutive times at the rate of the limit, so that they don't all return at once.
 */
export function createReturnTimes (clock: Pick<Clock, 'nowMs'>) {
  let lastMs = -Infinity
  return (perSecond: number): number => {
    const nowMs = clock.nowMs()
    lastMs = Math.min(nowMs + MAX_RETURN_S * 1000, Math.max(nowMs + MIN_RETURN_S * 1000, lastMs + 1000 / perSecond))
    return (lastMs - nowMs) / 1000
  }
}
