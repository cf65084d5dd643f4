import type { CallEnd, Clock } from '@orioleslip/core'

/** Facts about a call at its dispatch that its end is compared with. */
export type Dispatch = { startMs: number, opKey: string }

/** Concurrency limit of one target, learnt from the calls it runs. */
export type ConcurrencyLimit = {
  /** Calls that may run at the target at once, at least 1; 0 before the target has announced itself. */
  limit: () => number
  /** Sets the announced capacity and starts the ramp. */
  targetStarted: (capacity: number) => void
  /** Records a dispatch; `saturated` tells that the limit kept other calls waiting or is fully used. */
  dispatched: (opKey: string, saturated: boolean) => Dispatch
  ended: (dispatch: Dispatch, end: CallEnd) => void
}

const RAMP_MS = 10_000
const RAMP_STEPS = 10
// Above twice the announced capacity a target is more likely misbehaving than misannounced.
const MAX_FACTOR = 2
const MIN_FACTOR = 0.1
const SHED_FACTOR = 0.8

/** Creates the limit of the target beside this node. */
export function createConcurrencyLimit (clock: Clock): ConcurrencyLimit {
  let capacity = 0
  let learnt = 0
  let startedMs = 0
  let lastCutMs = -Infinity

  const minLimit = () => Math.max(1, capacity * MIN_FACTOR)
  const rampCap = (): number => {
    const step = Math.floor((clock.nowMs() - startedMs) / (RAMP_MS / RAMP_STEPS)) + 1
    return step > RAMP_STEPS ? Infinity : capacity * step / RAMP_STEPS
  }
  return {
    limit: () => capacity === 0 ? 0 : Math.max(1, Math.floor(Math.min(learnt, rampCap()))),
    targetStarted: (announced) => {
      capacity = Math.max(1, announced)
      learnt = capacity
      startedMs = clock.nowMs()
    },
    dispatched: (opKey) => ({ startMs: clock.nowMs(), opKey }),
    ended: (dispatch, end) => {
      if (end.kind === 'targetShed') {
        // Calls sent before the last cut say nothing about the limit after it.
        if (dispatch.startMs < lastCutMs) return
        lastCutMs = clock.nowMs()
        learnt = Math.max(minLimit(), learnt * SHED_FACTOR)
      } else if (end.kind === 'answered') {
        learnt = Math.min(capacity * MAX_FACTOR, learnt + 1 / learnt)
      }
    }
  }
}
