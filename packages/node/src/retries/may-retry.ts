import type { Refusal } from '@orioleslip/core'

/** A failed attempt of a call, as seen by the node that sent it. */
export type FailedAttempt = {
  refusal: Refusal
  repeatable: boolean
  /** Time left until the deadline, in ms. */
  remainingMs: number
  /** Recent median latency of the operation, in ms. */
  p50Ms: number
}

/** True if a retry can succeed and is safe; the ledger must still grant it. */
export function mayRetry (attempt: FailedAttempt): boolean {
  const { refusal, repeatable, remainingMs, p50Ms } = attempt
  if (remainingMs <= p50Ms) return false
  switch (refusal.code) {
    // Failures of one target or node: a broken connection, or a node that is stopping or has just started. Another target may succeed.
    case 'target-lost':
    case 'bad-answer':
    case 'no-target':
    case 'draining':
    case 'lists-unconfirmed':
    case 'internal-error':
      return repeatable || refusal.outcome === 'not-run'
    // All other refusals are caused by the request itself or by overload, and a retry would be refused as well.
    default:
      return false
  }
}
