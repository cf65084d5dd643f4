import { createCanceller, type Clock, type PeerAddress, type RequestRetry, type RetryLedger } from '@orioleslip/core'

/** Requests a retry from the node that holds the ledger; resolves with whether it is granted, or with undefined if there was no reply. */
export type SendRetryRequest = (ledger: PeerAddress, requestId: string, timeoutMs: number) => Promise<boolean | undefined>

const MAX_WAIT_MS = 100
// A longer wait would use up the time that the retry itself needs.
const MAX_WAIT_SHARE = 0.25

/** Creates the function that takes a retry from the ledger of a request's entry node; without a reply in time no retry is granted. */
export function createRetryRequester (
  opts: { clock: Clock, self: PeerAddress, ledger: RetryLedger, send: SendRetryRequest }
): RequestRetry {
  const { clock, self, ledger, send } = opts
  return async (ctx, remainingMs) => {
    if (remainingMs <= 0) return false
    if (ctx.ledger.host === self.host && ctx.ledger.port === self.port) return ledger.take(ctx.requestId)
    const timeoutMs = Math.min(MAX_WAIT_MS, remainingMs * MAX_WAIT_SHARE)
    const timer = createCanceller()
    const timeout = clock.sleep(timeoutMs, timer.signal).then(() => undefined)
    const reply = send(ctx.ledger, ctx.requestId, timeoutMs).catch(() => undefined)
    const granted = await Promise.race([reply, timeout])
    timer.abort()
    return granted === true
  }
}
