import { PRIORITY_BAND, PRIORITY_COUNT } from '@orioleslip/core'

/** Measurements of the gate since the last tick. */
export type LevelWindow = {
  /** Calls sent to the target. */
  dispatched: number
  /** Calls dropped because the queue was full or their deadline could not be met. */
  dropped: number
  queued: number
  /** Share of the concurrency limit in use, 0 to 1. */
  utilization: number
  /** Moving average of the target's time per call, in ms. */
  serviceMs: number
}

/** Admission level of one target: calls with a priority below it are refused at the entry nodes. */
export type AdmissionLevel = {
  /** Counts a call that reached the gate. */
  arrived: (priority: number) => void
  /** Ends a measurement window of `windowMs` and recomputes the level. */
  tick: (window: LevelWindow, windowMs: number) => void
  /** Current level, 0 to `MAX_LEVEL`; its fraction is the share of the priority in which it lies that is refused. */
  level: () => number
}

/** Upper bound of the level. Priorities from here on are reserved for control traffic and never refused. */
export const MAX_LEVEL = 3 * PRIORITY_BAND

// Decay per window of the measured counts. A single window of a slow target has too few calls for a histogram.
const WINDOW_DECAY = 0.6
// Queue delays below the setpoint are normal arrival jitter. The setpoint is the larger of a fixed time and a share of the service time.
const SETPOINT_MS = 20
const SETPOINT_SERVICE_SHARE = 0.25
// A queue above the setpoint is drained over this time, using at most this share of the throughput. The queue is short, so a larger
// share would refuse calls that the target could have run once the queue is empty.
const DRAIN_MS = 500
const MAX_DRAIN_SHARE = 0.15
// Share of the computed rise that is applied per tick. A rise takes effect one chain latency later, while calls already admitted still
// arrive; applying it in full refuses too much.
const RISE_GAIN = 0.6
// Ticks after a rise without a fall. Entry nodes receive the new level one chain latency later; falling earlier would repeat the overload.
const HOLD_TICKS = 2
// Share of the spare capacity that a step down hands out: initial value, upper bound and growth per step. The share may exceed 1: when
// a step that should have used up the spare capacity does not, demand is lower than it was when last measured.
const INITIAL_SPARE_SHARE = 0.1
const MAX_SPARE_SHARE = 4
const SPARE_SHARE_GROWTH = 2
// Without a queue the level falls a little even when all slots are in use, to detect that demand has ended.
const MIN_SPARE_SHARE = 0.01
const MAX_STEP = 32
// Decay per tick of the remembered arrivals of refused priorities, which no longer arrive: a half-life of about 14 s.
const REFUSED_DECAY = 0.995
// Decay per tick for admitted priorities. They are remembered too, because their calls arrive only after the entry nodes have
// received the lower level.
const ADMITTED_DECAY = 0.9
// The level enters a band only when the bands below make up less than this share of the arrivals; it isn't 0 because probes still arrive.
const LOWER_BANDS_SHARE = 0.1

/** Creates an admission level. It starts at 0, which admits everything. */
export function createAdmissionLevel (): AdmissionLevel {
  const arrivals = new Float64Array(PRIORITY_COUNT)
  const windowArrivals = new Float64Array(PRIORITY_COUNT)
  // Arrivals per window and priority, as measured while the priority was admitted.
  const offered = new Float64Array(PRIORITY_COUNT)
  let dispatched = 0
  let windowsMs = 0
  // Calls per window at full utilization; not updated while the utilization is too low to extrapolate from.
  let estimatedCapacity = 0
  let level = 0
  let spareShare = INITIAL_SPARE_SHARE
  let holdTicks = 0

  const sum = (from: number, to: number): number => {
    let total = 0
    for (let p = from; p < to; p++) total += arrivals[p]!
    return total
  }
  // Lowest level, not below the current one, that admits at most `allowed` of the arrivals.
  const levelAdmitting = (allowed: number): number => {
    let above = 0
    for (let p = PRIORITY_COUNT - 1; p >= Math.floor(level); p--) {
      const count = arrivals[p]!
      if (above + count > allowed) return Math.max(level, p + 1 - (allowed - above) / count)
      above += count
    }
    return level
  }
  // Limits a rise to the upper end of a band while the bands up to there still have arrivals.
  const capByBand = (wanted: number): number => {
    const totalArrivals = sum(0, PRIORITY_COUNT)
    for (let bound = PRIORITY_BAND; bound <= MAX_LEVEL; bound += PRIORITY_BAND) {
      if (wanted > bound && sum(0, bound) > LOWER_BANDS_SHARE * totalArrivals) return Math.max(level, bound)
    }
    return Math.min(MAX_LEVEL, wanted)
  }
  // Lowers the level until the calls that this newly admits fill a share of the spare capacity.
  const lowerLevel = (utilization: number): void => {
    const capacity = Math.max(estimatedCapacity, dispatched / Math.max(0.05, utilization))
    let spareCalls = capacity * Math.max(MIN_SPARE_SHARE, (1 - utilization) * spareShare)
    const floor = Math.max(0, level - MAX_STEP)
    while (level > floor && spareCalls > 0) {
      const p = Math.ceil(level) - 1
      const span = Math.min(level - p, level - floor)
      const calls = offered[p]! * span
      const admittedSpan = calls <= spareCalls ? span : span * spareCalls / calls
      level = Math.max(0, level - admittedSpan)
      spareCalls -= calls
    }
    spareShare = Math.min(MAX_SPARE_SHARE, spareShare * SPARE_SHARE_GROWTH)
  }
  return {
    arrived: (priority) => { windowArrivals[priority]!++ },
    level: () => level,
    tick: (window, windowMs) => {
      for (let p = 0; p < PRIORITY_COUNT; p++) {
        arrivals[p] = arrivals[p]! * WINDOW_DECAY + windowArrivals[p]!
        offered[p] = Math.max(arrivals[p]!, offered[p]! * (p + 1 > level ? ADMITTED_DECAY : REFUSED_DECAY))
      }
      windowArrivals.fill(0)
      dispatched = dispatched * WINDOW_DECAY + window.dispatched
      windowsMs = windowsMs * WINDOW_DECAY + windowMs
      if (window.utilization > 0.25) estimatedCapacity = dispatched / window.utilization
      const delayMs = window.queued === 0 ? 0 : window.queued / Math.max(dispatched, 0.1) * windowsMs
      const setpointMs = Math.max(SETPOINT_MS, window.serviceMs * SETPOINT_SERVICE_SHARE)
      if (delayMs > setpointMs || window.dropped > 0) {
        const drainShare = Math.min(MAX_DRAIN_SHARE, Math.max(0, delayMs - setpointMs) / DRAIN_MS)
        const wanted = levelAdmitting(dispatched * (1 - drainShare))
        if (wanted > level) {
          level = capByBand(level + RISE_GAIN * (wanted - level))
          holdTicks = HOLD_TICKS
        }
        spareShare = INITIAL_SPARE_SHARE
      } else if (holdTicks > 0) {
        holdTicks--
      } else if (delayMs < setpointMs / 2 && level > 0) {
        lowerLevel(window.utilization)
      }
    }
  }
}
