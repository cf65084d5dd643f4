import type { CallEnd, Clock } from '@orioleslip/core'
import { addSample, comparePhases, createPhase } from './phase.js'
import type { Phase } from './phase.js'

/** Facts about a call at its dispatch that its end is compared with. */
export type Dispatch = { order: number, opKey: string, phase: Phase | undefined }

/** Concurrency limit of one target, learnt from the calls it runs. */
export type ConcurrencyLimit = {
  /** Calls that may run at the target at once, at least 1; 0 before the target has announced itself. */
  limit: () => number
  /** Sets the announced capacity and starts the ramp. */
  targetStarted: (capacity: number) => void
  /** Records a dispatch; `saturated` tells that it uses up the limit. */
  dispatched: (opKey: string, saturated: boolean) => Dispatch
  ended: (dispatch: Dispatch, end: CallEnd) => void
}

const RAMP_MS = 10_000
const RAMP_STEPS = 10
// Above twice the announced capacity a target is more likely misbehaving than misannounced.
const MAX_FACTOR = 2
const MIN_FACTOR = 0.1
const SHED_FACTOR = 0.9
// For this time after the target has shed load, the limit stays below the calls that were in flight then.
const SHED_MEMORY_MS = 10_000

// Limits are compared in pairs of phases. Wide pairs find a wrongly announced capacity, narrow ones keep it at little cost.
const WIDE = 0.25
const NARROW = 0.1
const SETTLE_LATENCIES = 1
const COLLECT_LATENCIES = 6
const MIN_COLLECT_MS = 40
const MAX_COLLECT_MS = 3000
const LATENCY_WEIGHT = 0.05
// Share of the pair's difference that is to be queue: enough to keep the slots busy, little enough to be seen by the gate.
const WANTED_SHARE = 0.55
const GAIN = 2
const CONFIDENCE = 1.5
const ENOUGH_ERROR = 0.2
const MAX_PAIRS = 12
// A share this far below zero means that the target itself became faster or slower between the phases.
const DRIFT_SHARE = -0.3
// After a step of less than half a call, the limit is kept for a while without comparisons.
const REST_LATENCIES = 30
const MIN_REST_MS = 1000
const MAX_REST_MS = 5000
// Phases in which the limit was not used up by most calls tell nothing about it.
const SATURATED_SHARE = 0.8

/** Creates the limit of the target beside this node. */
export function createConcurrencyLimit (clock: Clock): ConcurrencyLimit {
  let capacity = 0
  let learnt = 0
  let startedMs = 0
  let lastCutMs = -Infinity
  let shedAt = Infinity
  let dispatches = 0
  let cutOrder = 0
  let latencyMs = 0
  let width = WIDE
  let lastStep = 0
  let inFlight = 0
  let restUntilMs = -Infinity
  let phase: Phase | undefined
  let previous: Phase | undefined
  let weightSum = 0
  let shareSum = 0
  let pairs = 0

  const minLimit = () => Math.max(1, capacity * MIN_FACTOR)
  const rampCap = (): number => {
    const step = Math.floor((clock.nowMs() - startedMs) / (RAMP_MS / RAMP_STEPS)) + 1
    return step > RAMP_STEPS ? Infinity : capacity * step / RAMP_STEPS
  }
  const base = () => Math.max(1, Math.floor(Math.min(learnt, rampCap())))
  const lower = () => Math.max(1, Math.min(Math.floor(learnt) - 1, Math.round(learnt * (1 - width))))

  const restart = (): void => {
    phase = undefined
    previous = undefined
    weightSum = 0
    shareSum = 0
    pairs = 0
  }
  const openPhase = (limit: number): void => {
    const collectMs = Math.min(MAX_COLLECT_MS, Math.max(MIN_COLLECT_MS, latencyMs * COLLECT_LATENCIES))
    phase = createPhase(limit, clock.nowMs(), Math.min(MAX_COLLECT_MS, latencyMs * SETTLE_LATENCIES), collectMs)
  }
  const upperBound = () => {
    const max = capacity * MAX_FACTOR
    return clock.nowMs() - lastCutMs < SHED_MEMORY_MS ? Math.min(max, shedAt - 1) : max
  }
  const decide = (): void => {
    const share = shareSum / weightSum
    const error = 1 / Math.sqrt(weightSum)
    if (Math.abs(share - WANTED_SHARE) < CONFIDENCE * error && error > ENOUGH_ERROR && pairs < MAX_PAIRS) return
    const step = Math.max(-1, Math.min(1, (WANTED_SHARE - share) * GAIN))
    const before = learnt
    learnt = Math.max(minLimit(), Math.min(upperBound(), learnt + step * Math.max(1, base() - lower())))
    if (Math.abs(step) < 1 || step === -lastStep) width = NARROW
    else if (step === lastStep) width = WIDE
    lastStep = step
    restart()
    if (Math.abs(learnt - before) >= 0.5) return
    width = NARROW
    lastStep = 0
    restUntilMs = clock.nowMs() + Math.min(MAX_REST_MS, Math.max(MIN_REST_MS, latencyMs * REST_LATENCIES))
  }
  // Starts, ends and compares phases as time passes.
  const advance = (): void => {
    if (phase === undefined || clock.nowMs() < phase.endMs) return
    const done = phase
    if (rampCap() !== Infinity || done.dispatches === 0 || done.saturated < SATURATED_SHARE * done.dispatches) {
      restart()
      return
    }
    if (previous === undefined) {
      previous = done
      openPhase(done.limit === base() ? lower() : base())
      return
    }
    const estimate = comparePhases(previous, done)
    previous = undefined
    pairs++
    if (estimate !== undefined && estimate.queueShare + 2 * estimate.error > DRIFT_SHARE) {
      weightSum += 1 / estimate.error ** 2
      shareSum += Math.min(1.5, estimate.queueShare) / estimate.error ** 2
    }
    // The next pair starts with the limit of the last phase, so that a drift of the latency cancels out between pairs.
    openPhase(done.limit)
    if (weightSum > 0) decide()
  }

  return {
    limit: () => {
      if (capacity === 0) return 0
      // A phase that has ended but is not yet replaced must not hold the limit down when load has stopped.
      return phase === undefined || clock.nowMs() >= phase.endMs ? base() : Math.min(phase.limit, base())
    },
    targetStarted: (announced) => {
      capacity = Math.max(1, announced)
      learnt = capacity
      startedMs = clock.nowMs()
      lastCutMs = -Infinity
      width = WIDE
      lastStep = 0
      restUntilMs = -Infinity
      restart()
    },
    dispatched: (opKey, saturated) => {
      inFlight++
      const order = dispatches++
      advance()
      const nowMs = clock.nowMs()
      const mayOpen = saturated && latencyMs > 0 && base() > 1 && rampCap() === Infinity && nowMs >= restUntilMs
      if (phase === undefined && mayOpen) openPhase(base())
      if (phase === undefined || nowMs < phase.settledMs) return { order, opKey, phase: undefined }
      phase.dispatches++
      if (saturated) phase.saturated++
      return { order, opKey, phase }
    },
    ended: (dispatch, end) => {
      inFlight--
      advance()
      switch (end.kind) {
        case 'targetShed':
          // Calls sent before the last cut say nothing about the limit after it, so that there is one cut per round trip.
          if (dispatch.order < cutOrder) return
          cutOrder = dispatches
          lastCutMs = clock.nowMs()
          shedAt = Math.max(1, inFlight + 1)
          learnt = Math.max(minLimit(), Math.min(learnt, shedAt) * SHED_FACTOR)
          width = NARROW
          lastStep = 0
          restart()
          break
        case 'answered': {
          const ownMs = Math.max(0, end.latencyMs - (end.downstreamMs ?? 0))
          latencyMs += (end.latencyMs - latencyMs) * (latencyMs === 0 ? 1 : LATENCY_WEIGHT)
          if (dispatch.phase !== undefined && dispatch.phase === phase) addSample(phase, dispatch.opKey, ownMs)
          break
        }
        case 'failed':
        case 'cancelled':
      }
    }
  }
}
