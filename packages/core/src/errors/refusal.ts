/** Whether the target executed a refused or failed call. */
export type Outcome =
  /** The call did not run and can't run any more. */
  | 'not-run'
  /** The call may have run, may be running or may still run. */
  | 'unknown'
  /** The target's response is complete. */
  | 'complete'

/** Codes of refusals; each has a fixed HTTP status, title and remedy in `REFUSALS`. */
export const REFUSALS = {
  'bad-request': { status: 400, title: 'The request is malformed', remedy: 'Correct the request as the detail says.' },
  'customer-missing': { status: 400, title: 'No customer is named', remedy: 'Send the Orioleslip-Customer header.' },
  'key-required': { status: 400, title: 'The operation needs an idempotency key', remedy: 'Send an Idempotency-Key header that is unique to this operation.' },
  'customer-unknown': { status: 403, title: 'The customer is on no plan', remedy: 'An operator adds the customer to the customers list.' },
  'operation-not-listed': { status: 403, title: 'The plan does not include this operation', remedy: 'An operator adds the operation to the plan.' },
  'service-unknown': { status: 404, title: 'No target offers this service', remedy: 'Check the service name; the first path segment names it.' },
  'route-unknown': { status: 404, title: 'No route leads there', remedy: 'Check host and path; an operator adds the route.' },
  'key-in-progress': { status: 409, title: 'The first call with this key is still running', remedy: 'Send the same key again after Retry-After.' },
  'outcome-unknown': { status: 409, title: 'The first call with this key has no recorded outcome', remedy: 'Ask the service for the state; this key is not run again.' },
  'answer-dropped': { status: 409, title: 'The first call with this key finished; its answer is no longer stored', remedy: 'Ask the service for the result; this key is not run again.' },
  'key-expired': { status: 409, title: 'The key is older than the retention time', remedy: 'Ask the service for the state before a new key is used.' },
  'body-too-large': { status: 413, title: 'The body is too large for a non-repeatable operation', remedy: 'Send at most 256 KiB, or upload first and refer to the upload.' },
  'key-reused': { status: 422, title: 'The key was used with a different request', remedy: 'Use a new key for a different request.' },
  'rate-exceeded': { status: 429, title: 'The customer is over the rate of its plan', remedy: 'Wait for Retry-After seconds.' },
  'bad-answer': { status: 502, title: 'The target sent a malformed or incomplete answer', remedy: 'See the outcome; safe calls may be sent again.' },
  'target-lost': { status: 502, title: 'The connection to the target was lost', remedy: 'See the outcome; safe calls may be sent again.' },
  'request-blocked': { status: 503, title: 'Targets ended while they ran this request', remedy: 'Mend the service; the request is let through again after Retry-After seconds.' },
  overloaded: { status: 503, title: 'The system is overloaded', remedy: 'Wait for Retry-After seconds and send the request again.' },
  'no-target': { status: 503, title: 'No target of the service is ready', remedy: 'Wait for Retry-After seconds and send the request again.' },
  'lists-unconfirmed': { status: 503, title: 'The node is waiting for the current lists', remedy: 'Use another node, or wait for Retry-After seconds.' },
  'routes-unconfirmed': { status: 503, title: 'The node is waiting for the current routes', remedy: 'Use another node, or wait for Retry-After seconds.' },
  'register-unavailable': { status: 503, title: 'The key register can\'t be reached', remedy: 'Send the same key again after Retry-After seconds.' },
  draining: { status: 503, title: 'The node is stopping', remedy: 'Use another node.' },
  'deadline-exceeded': { status: 504, title: 'The deadline has passed', remedy: 'Allow more time, or try again when the load is lower.' },
  'not-current': { status: 503, title: 'The control VM can\'t confirm that it is current', remedy: 'Ask another control VM.' },
  'internal-error': { status: 500, title: 'The node failed', remedy: 'See the log of the node with this request id.' }
} as const

export type RefusalCode = keyof typeof REFUSALS

/** A refused or failed call, as passed between nodes and shown to callers. */
export type Refusal = {
  code: RefusalCode
  outcome: Outcome
  detail: string
  /** Seconds after which the caller may resend; absent when a resend would not help. */
  retryAfterS?: number
}

/** Creates a refusal of a call that did not run. */
export function notRun (code: RefusalCode, detail: string, retryAfterS?: number): Refusal {
  return { code, outcome: 'not-run', detail, ...(retryAfterS === undefined ? {} : { retryAfterS }) }
}

/** Creates a refusal of a call whose outcome is unknown. */
export function unknownOutcome (code: RefusalCode, detail: string, retryAfterS?: number): Refusal {
  return { code, outcome: 'unknown', detail, ...(retryAfterS === undefined ? {} : { retryAfterS }) }
}

/** Fields of an RFC 9457 problem document. */
export type ProblemDocument = {
  type: string
  title: string
  status: number
  detail: string
  outcome: Outcome
  remedy: string
  requestId: string
}

/** Builds the problem document of a refusal. */
export function toProblem (refusal: Refusal, requestId: string): ProblemDocument {
  const kind = REFUSALS[refusal.code]
  return {
    type: `urn:orioleslip:${refusal.code}`,
    title: kind.title,
    status: kind.status,
    detail: refusal.detail,
    outcome: refusal.outcome,
    remedy: kind.remedy,
    requestId
  }
}
