import type { RequestRetry } from '@orioleslip/core'
import type { MayRetry } from '../calls/forwarder.js'
import type { Latencies } from '../limits/latencies.js'
import { mayRetry } from './may-retry.js'

/** Largest number of attempts of one call at this hop, whatever the allowance. */
const MAX_ATTEMPTS = 4

/** Creates the retry policy for listed operations, within the allowance that the entry node keeps for each request. */
export function createLedgerRetries (requestRetry: RequestRetry, latencies: Latencies): MayRetry {
  return async ({ req, refusal, attempts }) => {
    if (req.op === undefined || attempts >= MAX_ATTEMPTS || req.body.kind === 'stream' || req.deadline.signal.aborted) return false
    const remainingMs = req.deadline.remainingMs()
    if (!mayRetry({ refusal, repeatable: req.op.repeatable, remainingMs, p50Ms: latencies.p50Ms(req.opKey) })) return false
    return await requestRetry(req.root, remainingMs)
  }
}
