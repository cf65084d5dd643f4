import type { CallEnd, Clock } from '@orioleslip/core'
import { addSample, comparePhases, createPhase } from './phase.js'
import type { Phase } from './phase.js'

/** Facts about a call at its dispatch that its end is compared with. */
export type Dispatch = { startMs: number, opKey: string, phase: Phase | undefined }

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
const SHED_FACTOR = 0.8
// After the target has shed load, the limit is not raised for this time.
const SHED_HOLD_MS = 2000

// Limits are compared in pairs of phases. Wide pairs find a wrongly announced capacity, narrow ones keep it at little cost.
const WIDE = 0.25
const NARROW = 0.1
const SETTLE_LATENCIES = 1
const COLLECT_LATENCIES = 6
const MIN_COLLECT_MS = 40
const MAX_COLLECT_MS = 3000
const LATENCY_WEIGHT = 0.05
// Share of queue in the upper part of the pair: below the first the limit is raised, above the second it is cut.
const RAISE_BELOW = 0.3
const CUT_ABOVE = 0.8
const CONFIDENCE = 1.5
const ENOUGH_ERROR = 0.2
const MAX_PAIRS = 12
// Phases in which the limit was not used up by most calls tell nothing about it.
const SATURATED_SHARE = 0.8

/** Creates the limit of the target beside this node. */
export function createConcurrencyLimit (clock: Clock): ConcurrencyLimit {
  let capacity = 0
  let learnt = 0
  let startedMs = 0
  let lastCutMs = -Infinity
  let latencyMs = 0
  let width = WIDE
  let lastMove: 'raise' | 'cut' | 'keep' = 'keep'
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
  const move = (direction: typeof lastMove, to: number): void => {
    if (direction === 'keep' || (lastMove !== 'keep' && direction !== lastMove)) width = NARROW
    else if (direction === lastMove) width = WIDE
    lastMove = direction
    if (direction !== 'raise' || clock.nowMs() - lastCutMs > SHED_HOLD_MS) learnt = Math.min(capacity * MAX_FACTOR, Math.max(minLimit(), to))
    restart()
  }
  const decide = (): void => {
    const share = shareSum / weightSum
    const error = 1 / Math.sqrt(weightSum)
    if (share - CONFIDENCE * error > CUT_ABOVE) move('cut', lower())
    else if (share + CONFIDENCE * error < RAISE_BELOW) move('raise', Math.max(learnt + 1, learnt * (1 + width)))
    else if (error < ENOUGH_ERROR || pairs >= MAX_PAIRS) {
      if (share > CUT_ABOVE) move('cut', lower())
      else if (share < RAISE_BELOW) move('raise', Math.max(learnt + 1, learnt * (1 + width)))
      else move('keep', learnt)
    }
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
    if (estimate !== undefined) {
      weightSum += 1 / estimate.error ** 2
      shareSum += Math.max(-1, Math.min(2, estimate.queueShare)) / estimate.error ** 2
    }
    // The next pair starts with the limit of the last phase, so that a drift of the latency cancels out between pairs.
    openPhase(done.limit)
    if (weightSum > 0) decide()
  }

  return {
    limit: () => {
      if (capacity === 0) return 0
      return phase === undefined ? base() : Math.min(phase.limit, base())
    },
    targetStarted: (announced) => {
      capacity = Math.max(1, announced)
      learnt = capacity
      startedMs = clock.nowMs()
      lastCutMs = -Infinity
      width = WIDE
      lastMove = 'keep'
      restart()
    },
    dispatched: (opKey, saturated) => {
      advance()
      const nowMs = clock.nowMs()
      if (phase === undefined && saturated && latencyMs > 0 && base() > 1 && rampCap() === Infinity) openPhase(base())
      if (phase === undefined || nowMs < phase.settledMs) return { startMs: nowMs, opKey, phase: undefined }
      phase.dispatches++
      if (saturated) phase.saturated++
      return { startMs: nowMs, opKey, phase }
    },
    ended: (dispatch, end) => {
      advance()
      switch (end.kind) {
        case 'targetShed':
          // Calls sent before the last cut say nothing about the limit after it.
          if (dispatch.startMs < lastCutMs) return
          lastCutMs = clock.nowMs()
          learnt = Math.max(minLimit(), learnt * SHED_FACTOR)
          width = NARROW
          lastMove = 'cut'
          restart()
          return
        case 'answered': {
          const ownMs = Math.max(0, end.latencyMs - (end.downstreamMs ?? 0))
          latencyMs += (end.latencyMs - latencyMs) * (latencyMs === 0 ? 1 : LATENCY_WEIGHT)
          if (dispatch.phase !== undefined && dispatch.phase === phase) addSample(phase, dispatch.opKey, ownMs)
          return
        }
        case 'failed':
        case 'cancelled':
      }
    }
  }
}
