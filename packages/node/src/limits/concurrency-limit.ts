import type { CallEnd, Clock } from '@orioleslip/core'
import { addSample, comparePhases, createPhase } from './phase.js'
import type { Phase } from './phase.js'

/** State recorded at the dispatch of a call and passed to `ended`. */
export type Dispatch = { sequence: number, opKey: string, phase: Phase | undefined }

/** Concurrency limit of one target, adapted to the latencies of its calls. */
export type ConcurrencyLimit = {
  /** Calls that may run at the target at once, at least 1; 0 before the target has announced itself. */
  limit: () => number
  /** Sets the announced capacity and starts the ramp. */
  targetStarted: (capacity: number) => void
  /** Records a dispatch; `saturated` is true when the call takes the last free slot. */
  dispatched: (opKey: string, saturated: boolean) => Dispatch
  /** Records the end of a dispatched call and adapts the limit. */
  ended: (dispatch: Dispatch, end: CallEnd) => void
}

// After a start the limit rises to the announced capacity over this time, in equal steps.
const RAMP_MS = 10_000
const RAMP_STEPS = 10
// Bounds of the limit as factors of the announced capacity. If more than twice the capacity seems possible, the target more likely
// misbehaves than has announced a wrong capacity.
const MAX_CAPACITY_FACTOR = 2
const MIN_CAPACITY_FACTOR = 0.1
// Multiplicative decrease of the limit when the target sheds load.
const SHED_FACTOR = 0.9
// For this time after the target has shed load, the limit stays below the number of calls that were in flight then.
const SHED_HOLD_MS = 10_000

// The limit is adapted by comparing the latencies of two phases with different limits. The values are the relative differences: wide
// pairs find the limit when the announced capacity is wrong, narrow pairs follow it at little cost.
const WIDE_PAIR = 0.25
const NARROW_PAIR = 0.1
// Length of a phase in mean latencies: the time to settle, then the time to collect samples, which has bounds in ms.
const SETTLE_LATENCIES = 1
const COLLECT_LATENCIES = 6
const MIN_COLLECT_MS = 40
const MAX_COLLECT_MS = 3000
// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT = 0.05
// Share of the difference between the two limits that should be queue inside the target: enough to keep its slots busy, but so little
// that further calls queue in the gate, where the queue is measured.
const QUEUE_SHARE_SETPOINT = 0.55
const GAIN = 2
// Pairs are collected until the share differs from the setpoint by this many standard errors, the error is small enough, or the number
// of pairs reaches its maximum.
const CONFIDENCE_FACTOR = 1.5
const SUFFICIENT_ERROR = 0.2
const MAX_PAIRS = 12
// A share below this means that the target itself became faster or slower between the phases; the pair is discarded.
const MIN_PLAUSIBLE_SHARE = -0.3
// After a step of less than half a call, comparisons pause for this many latencies, within bounds.
const PAUSE_LATENCIES = 30
const MIN_PAUSE_MS = 1000
const MAX_PAUSE_MS = 5000
// A phase is used only if at least this share of its dispatches saturated the limit; otherwise it contains no information about it.
const SATURATED_SHARE = 0.8

/** Creates the adaptive limit of the local target; it starts at the announced capacity. */
export function createConcurrencyLimit (clock: Clock): ConcurrencyLimit {
  let capacity = 0
  let learnedLimit = 0
  let startedMs = 0
  let lastDecreaseMs = -Infinity
  let shedInFlight = Infinity
  let dispatches = 0
  let decreaseSequence = 0
  let latencyMs = 0
  let pairWidth = WIDE_PAIR
  let lastStep = 0
  let inFlight = 0
  let pausedUntilMs = -Infinity
  let phase: Phase | undefined
  let previousPhase: Phase | undefined
  let weightSum = 0
  let shareSum = 0
  let pairs = 0

  const minLimit = () => Math.max(1, capacity * MIN_CAPACITY_FACTOR)
  const rampCap = (): number => {
    const step = Math.floor((clock.nowMs() - startedMs) / (RAMP_MS / RAMP_STEPS)) + 1
    return step > RAMP_STEPS ? Infinity : capacity * step / RAMP_STEPS
  }
  const baseLimit = () => Math.max(1, Math.floor(Math.min(learnedLimit, rampCap())))
  const lowerLimit = () => Math.max(1, Math.min(Math.floor(learnedLimit) - 1, Math.round(learnedLimit * (1 - pairWidth))))

  const resetComparison = (): void => {
    phase = undefined
    previousPhase = undefined
    weightSum = 0
    shareSum = 0
    pairs = 0
  }
  const openPhase = (limit: number): void => {
    const collectMs = Math.min(MAX_COLLECT_MS, Math.max(MIN_COLLECT_MS, latencyMs * COLLECT_LATENCIES))
    phase = createPhase(limit, clock.nowMs(), Math.min(MAX_COLLECT_MS, latencyMs * SETTLE_LATENCIES), collectMs)
  }
  const upperBound = () => {
    const max = capacity * MAX_CAPACITY_FACTOR
    return clock.nowMs() - lastDecreaseMs < SHED_HOLD_MS ? Math.min(max, shedInFlight - 1) : max
  }
  // Moves the limit towards the queue share setpoint when the collected pairs are conclusive.
  const adjustLimit = (): void => {
    const share = shareSum / weightSum
    const error = 1 / Math.sqrt(weightSum)
    if (Math.abs(share - QUEUE_SHARE_SETPOINT) < CONFIDENCE_FACTOR * error && error > SUFFICIENT_ERROR && pairs < MAX_PAIRS) return
    const step = Math.max(-1, Math.min(1, (QUEUE_SHARE_SETPOINT - share) * GAIN))
    const before = learnedLimit
    learnedLimit = Math.max(minLimit(), Math.min(upperBound(), learnedLimit + step * Math.max(1, baseLimit() - lowerLimit())))
    if (Math.abs(step) < 1 || step === -lastStep) pairWidth = NARROW_PAIR
    else if (step === lastStep) pairWidth = WIDE_PAIR
    lastStep = step
    resetComparison()
    if (Math.abs(learnedLimit - before) >= 0.5) return
    pairWidth = NARROW_PAIR
    lastStep = 0
    pausedUntilMs = clock.nowMs() + Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, latencyMs * PAUSE_LATENCIES))
  }
  // Ends a phase whose time has passed, compares completed pairs and opens the next phase.
  const advancePhases = (): void => {
    if (phase === undefined || clock.nowMs() < phase.endMs) return
    const endedPhase = phase
    if (rampCap() !== Infinity || endedPhase.dispatches === 0 || endedPhase.saturated < SATURATED_SHARE * endedPhase.dispatches) {
      resetComparison()
      return
    }
    if (previousPhase === undefined) {
      previousPhase = endedPhase
      openPhase(endedPhase.limit === baseLimit() ? lowerLimit() : baseLimit())
      return
    }
    const estimate = comparePhases(previousPhase, endedPhase)
    previousPhase = undefined
    pairs++
    if (estimate !== undefined && estimate.queueShare + 2 * estimate.error > MIN_PLAUSIBLE_SHARE) {
      weightSum += 1 / estimate.error ** 2
      shareSum += Math.min(1.5, estimate.queueShare) / estimate.error ** 2
    }
    // The next pair starts with the limit of the last phase, so that a latency drift cancels out between pairs.
    openPhase(endedPhase.limit)
    if (weightSum > 0) adjustLimit()
  }

  return {
    limit: () => {
      if (capacity === 0) return 0
      // Phases advance only with calls; an ended phase must not keep the limit low after the load has stopped.
      return phase === undefined || clock.nowMs() >= phase.endMs ? baseLimit() : Math.min(phase.limit, baseLimit())
    },
    targetStarted: (announced) => {
      capacity = Math.max(1, announced)
      learnedLimit = capacity
      startedMs = clock.nowMs()
      lastDecreaseMs = -Infinity
      pairWidth = WIDE_PAIR
      lastStep = 0
      pausedUntilMs = -Infinity
      resetComparison()
    },
    dispatched: (opKey, saturated) => {
      inFlight++
      const sequence = dispatches++
      advancePhases()
      const nowMs = clock.nowMs()
      const mayOpen = saturated && latencyMs > 0 && baseLimit() > 1 && rampCap() === Infinity && nowMs >= pausedUntilMs
      if (phase === undefined && mayOpen) openPhase(baseLimit())
      if (phase === undefined || nowMs < phase.settledMs) return { sequence, opKey, phase: undefined }
      phase.dispatches++
      if (saturated) phase.saturated++
      return { sequence, opKey, phase }
    },
    ended: (dispatch, end) => {
      inFlight--
      advancePhases()
      switch (end.kind) {
        case 'targetShed':
          // Calls dispatched before the last decrease were not subject to the new limit, so there is at most one decrease per round trip.
          if (dispatch.sequence < decreaseSequence) return
          decreaseSequence = dispatches
          lastDecreaseMs = clock.nowMs()
          shedInFlight = Math.max(1, inFlight + 1)
          learnedLimit = Math.max(minLimit(), Math.min(learnedLimit, shedInFlight) * SHED_FACTOR)
          pairWidth = NARROW_PAIR
          lastStep = 0
          resetComparison()
          break
        case 'answered': {
          const ownMs = Math.max(0, end.latencyMs - (end.downstreamMs ?? 0))
          latencyMs += (end.latencyMs - latencyMs) * (latencyMs === 0 ? 1 : LATENCY_WEIGHT)
          if (dispatch.phase !== undefined && dispatch.phase === phase) addSample(phase, dispatch.opKey, ownMs)
          break
        }
        case 'notSent':
        case 'failed':
        case 'cancelled':
      }
    }
  }
}
