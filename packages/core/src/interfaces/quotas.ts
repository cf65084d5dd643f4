/** Result of taking a token of a customer's rate; `retryAfterS` is the wait until a resend may succeed, in s. */
export type QuotaVerdict = { kind: 'granted' } | { kind: 'exceeded', retryAfterS: number }

/** Enforces the rates of plans in sum over all nodes. */
export type Quotas = {
  /** Takes one token for a request of the customer; needs no round trip while the node's lease has tokens. */
  take: (customer: string, ratePerSecond: number, burst: number) => QuotaVerdict | Promise<QuotaVerdict>
  /** Grants a lease that another node requests; this node must be the customer's quota owner. */
  grant: (request: QuotaRequest) => QuotaGrant
}

/** Request for a lease of `tokens` tokens. */
export type QuotaRequest = { customer: string, ratePerSecond: number, burst: number, tokens: number, fromVm: string }
/** Lease of `tokens` tokens, valid for `validMs`. */
export type QuotaGrant = { tokens: number, validMs: number }

/** Requests a lease from the node on another VM; undefined when there is no reply. */
export type RequestQuota = (vmId: string, request: QuotaRequest, timeoutMs: number) => Promise<QuotaGrant | undefined>
