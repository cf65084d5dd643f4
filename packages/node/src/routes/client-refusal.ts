import { REFUSALS, type Refusal } from '@orioleslip/core'

/** Seconds after which a client may send again what found no target in time. */
const RETRY_AFTER_S = 1

/**
 * Gives the refusal of a request that did not run a status that says so: clients repeat what may run once only after 503, and a 502 or
 * 504 would take that chance from them. The routes define which services exist, so a service without known targets is no wrong address.
 */
export function clientRefusal (refusal: Refusal): Refusal {
  const { status } = REFUSALS[refusal.code]
  const isWrongStatus = refusal.code === 'service-unknown' || (status >= 500 && status !== 503)
  if (refusal.outcome !== 'not-run' || !isWrongStatus) return refusal
  return { ...refusal, code: 'no-target', detail: `${refusal.code}: ${refusal.detail}`, retryAfterS: refusal.retryAfterS ?? RETRY_AFTER_S }
}
