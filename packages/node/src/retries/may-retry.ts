import type { Refusal } from '@orioleslip/core'

/** A failed attempt of one call, as seen by the node that sent it. */
export type FailedAttempt = {
  refusal: Refusal
  repeatable: boolean
  /** Time left until the deadline, in ms. */
  remainingMs: number
  /** Recent median latency of the operation, in ms. */
  p50Ms: number
}

/** True when a retry makes sense; the ledger must still grant it. */
export function mayRetry (attempt: FailedAttempt): boolean {
  const { refusal, repeatable, remainingMs, p50Ms } = attempt
  if (remainingMs <= p50Ms) return false
  switch (refusal.code) {
    // The connection failed before or after the dispatch, or the node is stopping or has just started; another target may work.
    case 'target-lost':
    case 'bad-answer':
    case 'no-target':
    case 'draining':
    case 'lists-unconfirmed':
    case 'internal-error':
      return repeatable || refusal.outcome === 'not-run'
    // Every other refusal is about the request or about overload, and a retry would meet it again.
    default:
      return false
  }
}
