import type { AskRetry, Clock, PeerAddress, RetryLedger } from '@orioleslip/core'

/** Sends a retry question to the node that holds the ledger; undefined when there was no answer. */
export type SendRetryAsk = (ledger: PeerAddress, requestId: string, timeoutMs: number) => Promise<boolean | undefined>

const MAX_WAIT_MS = 100
// A longer wait would take the time that the retry itself needs.
const MAX_WAIT_SHARE = 0.25

/** Creates the question to the entry node's ledger; requests that entered here are answered locally. */
export function createAskRetry (opts: { clock: Clock, self: PeerAddress, ledger: RetryLedger, send: SendRetryAsk }): AskRetry {
  const { clock, self, ledger, send } = opts
  return async (ctx, remainingMs) => {
    if (remainingMs <= 0) return false
    if (ctx.ledger.host === self.host && ctx.ledger.port === self.port) return ledger.take(ctx.requestId)
    const timeoutMs = Math.min(MAX_WAIT_MS, remainingMs * MAX_WAIT_SHARE)
    const timer = new AbortController()
    const timeout = clock.sleep(timeoutMs, timer.signal).then(() => undefined)
    const answer = send(ctx.ledger, ctx.requestId, timeoutMs).catch(() => undefined)
    const granted = await Promise.race([answer, timeout])
    timer.abort()
    return granted === true
  }
}
