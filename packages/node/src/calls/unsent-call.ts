import { createCanceller, notRun, type CancelSignal, type Refusal } from '@orioleslip/core'

/** The wait of a call that has not been sent to its target. */
export type UnsentCall = {
  /** Aborts when the call is recalled, its caller leaves or its deadline passes. */
  signal: CancelSignal
  /** Returns the refusal to report for `refusal`: that of a recall, if the call was recalled and `refusal` says that it did not run. */
  refusalOf: (refusal: Refusal) => Refusal
  /** Ends the wait; a later recall has no effect. */
  done: () => void
}

/** Refusal of a call that a stopping node takes back before it has been sent to a target. */
export function recalledRefusal (): Refusal {
  return notRun('draining', 'a node of the call is stopping, and the call had not been sent to a target', 1)
}

/** Starts the wait of a call that ends with `cancelled`, or with one of `recalls`. */
export function trackUnsentCall (cancelled: CancelSignal, recalls: readonly CancelSignal[]): UnsentCall {
  const waiting = createCanceller()
  const signals = [cancelled, ...recalls]
  for (const signal of signals) {
    if (signal.aborted) waiting.abort()
    signal.addEventListener('abort', waiting.abort, { once: true })
  }
  return {
    signal: waiting.signal,
    refusalOf: (refusal) => refusal.outcome === 'not-run' && recalls.some(({ aborted }) => aborted) ? recalledRefusal() : refusal,
    done: () => { for (const signal of signals) signal.removeEventListener('abort', waiting.abort) }
  }
}
