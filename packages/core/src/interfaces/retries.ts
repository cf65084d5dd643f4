import type { RequestContext } from '../context/request-context.js'

/** Retry allowances of the root requests that entered at this node. */
export type RetryLedger = {
  /** Opens the allowance of a root request; a resend with the same idempotency key shares the open one. */
  open: (ctx: RequestContext, idempotencyKey: string | undefined) => void
  /** Takes one retry; false when the allowance or the customer's budget is used up or the request is not open. */
  take: (requestId: string) => boolean
  close: (requestId: string) => void
}

/** Requests one retry from the ledger of the entry node; false also when the node can't be reached in time. */
export type RequestRetry = (ctx: RequestContext, remainingMs: number) => Promise<boolean>
