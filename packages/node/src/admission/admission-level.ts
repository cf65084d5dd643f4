import { PRIORITY_BAND, PRIORITY_COUNT } from '@orioleslip/core'

/** What happened at the gate since the last tick. */
export type LevelWindow = {
  /** Calls sent to the target. */
  dispatched: number
  /** Calls dropped because the queue was full or their deadline could not be met. */
  dropped: number
  queued: number
  /** Recent mean time that the target works on a call, in ms. */
  serviceMs: number
}

/** Admission level of one target. */
export type AdmissionLevel = {
  /** Counts a call that reached the gate. */
  arrived: (priority: number) => void
  /** Closes a window of `windowMs`. */
  tick: (window: LevelWindow, windowMs: number) => void
  /** Priorities below this level are to be refused at the entry; 0 to `MAX_LEVEL`, with fractions. */
  level: () => number
}

/** Priorities from here on are reserved for control and never refused. */
export const MAX_LEVEL = 3 * PRIORITY_BAND

// Weight that each older window keeps. A single window of a slow target holds too few calls for a histogram.
const MEMORY = 0.6
// Queue delays below the setpoint are normal jitter of arrivals.
const SETPOINT_MS = 20
const SETPOINT_SERVICE_SHARE = 0.25
// A queue above the setpoint is drained over this time, with at most half of the throughput.
const DRAIN_MS = 500
const MAX_DRAIN_SHARE = 0.5
// Entry nodes learn the new level one chain latency later; falling before that would only repeat the overload.
const HOLD_TICKS = 3
const FIRST_STEP = 0.5
const STEP_GROWTH = 1.25
const MAX_STEP = 8
// Largest share of the throughput that one falling step may add.
const MAX_ADDED_SHARE = 0.03
// A band is entered only when the bands below it make up less than this share of the arrivals (probes remain).
const LOWER_BANDS_SHARE = 0.1

/** Creates an admission level, which starts at 0 and admits everything. */
export function createAdmissionLevel (): AdmissionLevel {
  const arrivals = new Float64Array(PRIORITY_COUNT)
  const fresh = new Float64Array(PRIORITY_COUNT)
  let dispatched = 0
  let windowsMs = 0
  let level = 0
  let step = FIRST_STEP
  let holdTicks = 0

  const sum = (from: number, to: number): number => {
    let total = 0
    for (let p = from; p < to; p++) total += arrivals[p]!
    return total
  }
  // Lowest level, not below the current one, above which at most `allowed` of the arrivals lie.
  const levelFor = (allowed: number): number => {
    let above = 0
    for (let p = PRIORITY_COUNT - 1; p >= Math.floor(level); p--) {
      const count = arrivals[p]!
      if (above + count > allowed) return Math.max(level, p + 1 - (allowed - above) / count)
      above += count
    }
    return level
  }
  const capByBand = (wanted: number): number => {
    const all = sum(0, PRIORITY_COUNT)
    for (let bound = PRIORITY_BAND; bound <= MAX_LEVEL; bound += PRIORITY_BAND) {
      if (wanted > bound && sum(0, bound) > LOWER_BANDS_SHARE * all) return Math.max(level, bound)
    }
    return Math.min(MAX_LEVEL, wanted)
  }
  const fall = (): void => {
    // Arrivals per level just above the current one tell how much a step down would add.
    const from = Math.floor(level)
    const density = sum(from, Math.min(PRIORITY_COUNT, from + 8)) / 8
    const bounded = density > 0 ? Math.min(step, Math.max(0.1, MAX_ADDED_SHARE * dispatched / density * (step / FIRST_STEP))) : step
    level = Math.max(0, level - bounded)
    step = Math.min(MAX_STEP, step * STEP_GROWTH)
  }
  return {
    arrived: (priority) => { fresh[priority]!++ },
    level: () => level,
    tick: (window, windowMs) => {
      for (let p = 0; p < PRIORITY_COUNT; p++) arrivals[p] = arrivals[p]! * MEMORY + fresh[p]!
      fresh.fill(0)
      dispatched = dispatched * MEMORY + window.dispatched
      windowsMs = windowsMs * MEMORY + windowMs
      const delayMs = window.queued === 0 ? 0 : window.queued / Math.max(dispatched, 0.1) * windowsMs
      const setpointMs = Math.max(SETPOINT_MS, window.serviceMs * SETPOINT_SERVICE_SHARE)
      if (delayMs > setpointMs || window.dropped > 0) {
        const drainShare = Math.min(MAX_DRAIN_SHARE, Math.max(0, delayMs - setpointMs) / DRAIN_MS)
        const wanted = levelFor(dispatched * (1 - drainShare))
        if (wanted > level) {
          level = capByBand(wanted)
          holdTicks = HOLD_TICKS
        }
        step = FIRST_STEP
      } else if (holdTicks > 0) {
        holdTicks--
      } else if (delayMs < setpointMs / 2 && level > 0) {
        fall()
      }
    }
  }
}
