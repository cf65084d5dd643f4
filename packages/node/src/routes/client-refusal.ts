import { REFUSALS, type Refusal } from '@orioleslip/core'

/** `Retry-After` of a request that did not run, in seconds, unless the refusal has its own. */
const RETRY_AFTER_S = 1

/**
 * Returns the refusal to send to a client. A request that did not run gets status 503, because clients resend a non-repeatable request
 * only after a 503, not after a 502 or 504. The routes define which services exist, so a service without known targets is unavailable
 * rather than unknown.
 */
export function clientRefusal (refusal: Refusal): Refusal {
  const { status } = REFUSALS[refusal.code]
  const isWrongStatus = refusal.code === 'service-unknown' || (status >= 500 && status !== 503)
  if (refusal.outcome !== 'not-run' || !isWrongStatus) return refusal
  return { ...refusal, code: 'no-target', detail: `${refusal.code}: ${refusal.detail}`, retryAfterS: refusal.retryAfterS ?? RETRY_AFTER_S }
}
