import type { Clock, RetryLedger } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

/** Capacity of a customer's retry budget, in tokens; a new budget starts full. */
export const BUDGET_CAPACITY = 10
/** Number of tokens that each admitted request adds to its customer's retry budget. */
export const BUDGET_PER_REQUEST = 0.1
/** Time during which resends with the same idempotency key share one allowance, in ms. */
export const SHARED_ALLOWANCE_MS = 60_000

// About 200 bytes per entry: at most 20 MB for open requests and 2 MB for budgets.
const MAX_OPEN = 65_536
const MAX_KEYS = 32_768
const MAX_CUSTOMERS = 10_000

type Allowance = { left: number, openedMs: number }
type OpenRequest = { customer: string, allowance: Allowance }

/** Creates the ledger of the requests that enter at this node, which grants the retries of all their calls. */
export function createRetryLedger (opts: { clock: Clock, retryAllowance: number }): RetryLedger {
  const { clock, retryAllowance } = opts
  // An evicted request gets no further retries, so the bound on retries still holds.
  const requests = new LRUCache<string, OpenRequest>({ max: MAX_OPEN })
  const byKey = new LRUCache<string, Allowance>({ max: MAX_KEYS })
  let evictions = 0
  const budgets = new LRUCache<string, { tokens: number }>({ max: MAX_CUSTOMERS, dispose: () => { evictions++ } })

  const budgetOf = (customer: string): { tokens: number } => {
    const known = budgets.get(customer)
    if (known !== undefined) return known
    // After any eviction a customer without a budget may be one that has used up its evicted budget, so its new budget starts empty.
    const budget = { tokens: evictions === 0 ? BUDGET_CAPACITY : 0 }
    budgets.set(customer, budget)
    return budget
  }
  const allowanceOf = (customer: string, key: string | undefined): Allowance => {
    const fresh = { left: retryAllowance, openedMs: clock.nowMs() }
    if (key === undefined) return fresh
    const id = `${customer.length} ${customer} ${key}`
    const known = byKey.get(id)
    if (known !== undefined && clock.nowMs() - known.openedMs < SHARED_ALLOWANCE_MS) return known
    byKey.set(id, fresh)
    return fresh
  }
  return {
    open: (ctx, idempotencyKey) => {
      const budget = budgetOf(ctx.customer)
      budget.tokens = Math.min(BUDGET_CAPACITY, budget.tokens + BUDGET_PER_REQUEST)
      requests.set(ctx.requestId, { customer: ctx.customer, allowance: allowanceOf(ctx.customer, idempotencyKey) })
    },
    take: (requestId) => {
      const open = requests.get(requestId)
      if (open === undefined || open.allowance.left < 1) return false
      const budget = budgetOf(open.customer)
      if (budget.tokens < 1) return false
      budget.tokens--
      open.allowance.left--
      return true
    },
    close: (requestId) => { requests.delete(requestId) }
  }
}
