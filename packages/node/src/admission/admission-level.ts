import { PRIORITY_BAND, PRIORITY_COUNT } from '@orioleslip/core'

/** What happened at the gate since the last tick. */
export type LevelWindow = {
  /** Calls sent to the target. */
  dispatched: number
  /** Calls dropped because the queue was full or their deadline could not be met. */
  dropped: number
  queued: number
  /** Share of the concurrency limit that is in use, 0 to 1. */
  use: number
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
// A queue above the setpoint is drained over this time, with at most this share of the throughput. The queue is short, so that
// a larger share would refuse calls that the target could have run once the queue is empty.
const DRAIN_MS = 500
const MAX_DRAIN_SHARE = 0.15
// A rise takes effect one chain latency later, and calls of several priorities are still on their way; a full step refuses too much.
const RISE_GAIN = 0.6
// Entry nodes learn the new level one chain latency later; falling before that would only repeat the overload.
const HOLD_TICKS = 2
// Share of the spare capacity that a falling step gives away, first and at most. Steps that should have used up the spare capacity
// and did not show that demand has fallen since it was last seen, so that the share may then exceed 1.
const FIRST_SHARE = 0.1
const MAX_SHARE = 4
const SHARE_GROWTH = 2
// Even with all slots in use the level falls a little while there is no queue, to find out whether demand has ended.
const MIN_ADDED_SHARE = 0.01
const MAX_STEP = 32
// Refused calls don't arrive; what arrived before they were refused is forgotten with a half-life of about 14 s.
const OFFERED_MEMORY = 0.995
// Once admitted, calls arrive again only after entry nodes have learnt it.
const ADMITTED_MEMORY = 0.9
// A band is entered only when the bands below it make up less than this share of the arrivals (probes remain).
const LOWER_BANDS_SHARE = 0.1

/** Creates an admission level, which starts at 0 and admits everything. */
export function createAdmissionLevel (): AdmissionLevel {
  const arrivals = new Float64Array(PRIORITY_COUNT)
  const fresh = new Float64Array(PRIORITY_COUNT)
  // Arrivals per window as they were when last admitted.
  const offered = new Float64Array(PRIORITY_COUNT)
  let dispatched = 0
  let windowsMs = 0
  // Calls per window at full use; kept while the target is too idle to tell.
  let knownCapacity = 0
  let level = 0
  let share = FIRST_SHARE
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
  // Lowers the level as far as the offered calls below it fit into a share of the spare capacity.
  const fall = (use: number): void => {
    const capacity = Math.max(knownCapacity, dispatched / Math.max(0.05, use))
    let room = capacity * Math.max(MIN_ADDED_SHARE, (1 - use) * share)
    const floor = Math.max(0, level - MAX_STEP)
    while (level > floor && room > 0) {
      const p = Math.ceil(level) - 1
      const part = Math.min(level - p, level - floor)
      const calls = offered[p]! * part
      const fits = calls <= room ? part : part * room / calls
      level = Math.max(0, level - fits)
      room -= calls
    }
    share = Math.min(MAX_SHARE, share * SHARE_GROWTH)
  }
  return {
    arrived: (priority) => { fresh[priority]!++ },
    level: () => level,
    tick: (window, windowMs) => {
      for (let p = 0; p < PRIORITY_COUNT; p++) {
        arrivals[p] = arrivals[p]! * MEMORY + fresh[p]!
        offered[p] = Math.max(arrivals[p]!, offered[p]! * (p + 1 > level ? ADMITTED_MEMORY : OFFERED_MEMORY))
      }
      fresh.fill(0)
      dispatched = dispatched * MEMORY + window.dispatched
      windowsMs = windowsMs * MEMORY + windowMs
      if (window.use > 0.25) knownCapacity = dispatched / window.use
      const delayMs = window.queued === 0 ? 0 : window.queued / Math.max(dispatched, 0.1) * windowsMs
      const setpointMs = Math.max(SETPOINT_MS, window.serviceMs * SETPOINT_SERVICE_SHARE)
      if (delayMs > setpointMs || window.dropped > 0) {
        const drainShare = Math.min(MAX_DRAIN_SHARE, Math.max(0, delayMs - setpointMs) / DRAIN_MS)
        const wanted = levelFor(dispatched * (1 - drainShare))
        if (wanted > level) {
          level = capByBand(level + RISE_GAIN * (wanted - level))
          holdTicks = HOLD_TICKS
        }
        share = FIRST_SHARE
      } else if (holdTicks > 0) {
        holdTicks--
      } else if (delayMs < setpointMs / 2 && level > 0) {
        fall(window.use)
      }
    }
  }
}
