import type { RootContext } from '../context/root-context.js'

/** Retry allowances of the root requests that entered at this node. */
export type RetryLedger = {
  /** Opens the allowance of a root request; a resend with the same idempotency key shares the open one. */
  open: (ctx: RootContext, idempotencyKey: string | undefined) => void
  /** Takes one retry; false when the allowance or the customer's budget is used up or the request is not open. */
  take: (requestId: string) => boolean
  close: (requestId: string) => void
}

/** Asks the ledger of the entry node for one retry; false also when it can't be reached in time. */
export type AskRetry = (ctx: RootContext, remainingMs: number) => Promise<boolean>
