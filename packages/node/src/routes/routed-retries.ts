import type { Refusal } from '@orioleslip/core'
import type { MayRetry } from '../calls/forwarder.js'
import type { RepeatBudget } from './repeat-budget.js'

/** Maximum number of nodes to which one call is sent, including those that refused it before it reached their target. */
const MAX_OFFERS = 4
/** Remaining time below which a retry would not complete, in ms. */
const MIN_REMAINING_MS = 60

/**
 * Creates the retry decision for routed calls. A call that reached no target is retried without using the budget; one that did is retried
 * within the repeat budget, but never when it may have run and is not repeatable.
 */
export function createRoutedRetries (budget: RepeatBudget, maxAttemptsOf: (opKey: string) => number): MayRetry {
  return ({ req, refusal, attempts, reachedTarget }) => {
    if (attempts >= MAX_OFFERS || req.body.kind === 'stream' || req.deadline.signal.aborted) return false
    if (req.deadline.remainingMs() < MIN_REMAINING_MS || !isRetryable(refusal)) return false
    if (refusal.outcome !== 'not-run' && req.op?.repeatable !== true) return false
    if (!reachedTarget) return true
    return attempts < maxAttemptsOf(req.opKey) && budget.take(req.service)
  }
}

function isRetryable (refusal: Refusal): boolean {
  switch (refusal.code) {
    case 'target-lost': case 'bad-answer': case 'no-target': case 'draining': case 'overloaded': case 'internal-error': return true
    default: return false
  }
}
