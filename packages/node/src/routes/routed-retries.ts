import type { Refusal } from '@orioleslip/core'
import type { MayTryAgain } from '../calls/forwarder.js'
import type { RepeatBudget } from './repeat-budget.js'

/** Nodes that one call may be offered to, counting those that turned it away before their target got it. */
const MAX_OFFERS = 4
/** Below this time another target is not worth the way, in ms. */
const MIN_REMAINING_MS = 60

/**
 * Retries routed calls: freely while no target got the call, within the repeat budget afterwards, and never one that may have run
 * and may run once only.
 */
export function createRoutedRetries (budget: RepeatBudget, maxAttemptsOf: (opKey: string) => number): MayTryAgain {
  return ({ req, refusal, attempts, reachedTarget }) => {
    if (attempts >= MAX_OFFERS || req.body.kind === 'stream' || req.deadline.signal.aborted) return false
    if (req.deadline.remainingMs() < MIN_REMAINING_MS || !isWorthRepeating(refusal)) return false
    if (refusal.outcome !== 'not-run' && req.op?.repeatable !== true) return false
    if (!reachedTarget) return true
    return attempts < maxAttemptsOf(req.opKey) && budget.take(req.service)
  }
}

function isWorthRepeating (refusal: Refusal): boolean {
  switch (refusal.code) {
    case 'target-lost': case 'bad-answer': case 'no-target': case 'draining': case 'overloaded': case 'internal-error': return true
    default: return false
  }
}
