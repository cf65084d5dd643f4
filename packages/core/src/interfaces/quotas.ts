export type QuotaVerdict = { kind: 'granted' } | { kind: 'exceeded', retryAfterS: number }

/** Plan rates that hold in sum over all nodes. */
export type Quotas = {
  /** Takes one request of the customer; resolves without a round trip while a lease has tokens. */
  take: (customer: string, ratePerSecond: number, burst: number) => QuotaVerdict | Promise<QuotaVerdict>
  /** Answers another node's request for a lease; this node must be the customer's quota owner. */
  answer: (ask: QuotaAsk) => QuotaGrant
}

export type QuotaAsk = { customer: string, ratePerSecond: number, burst: number, tokens: number, fromVm: string }
export type QuotaGrant = { tokens: number, validMs: number }

/** Sends a quota request to the node of another member. */
export type AskQuota = (vmId: string, ask: QuotaAsk, timeoutMs: number) => Promise<QuotaGrant | undefined>
