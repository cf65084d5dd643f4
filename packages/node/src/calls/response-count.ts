import type { Clock } from '@orioleslip/core'

/** Counts the responses of a target. */
export type ResponseCount = {
  add: () => void
  /** Starts to count the responses to other calls; the returned function says how many came since, which a silent target does not send. */
  countOthers: () => () => string
}

/** Creates the count of a target that has not responded yet. */
export function createResponseCount (clock: Clock): ResponseCount {
  let count = 0
  let lastMs = 0
  return {
    add: () => {
      count++
      lastMs = clock.nowMs()
    },
    countOthers: () => {
      const before = count
      return () => count === before
        ? 'it had responded to no other call since'
        : `it had responded to ${count - before} others since, the last ${Math.round(clock.nowMs() - lastMs)} ms before`
    }
  }
}
