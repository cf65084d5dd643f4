import type { AskQuota, Clock, MembersView, Quotas } from '@orioleslip/core'

type Bucket = { tokens: number, atMs: number }

/** Gives each node its equal share of a customer's rate. */
export function createQuotas ({ members, clock }: { members: MembersView, clock: Clock, vmId: string, askQuota: AskQuota }): Quotas {
  const buckets = new Map<string, Bucket>()
  return {
    take: (customer, ratePerSecond, burst) => {
      const share = 1 / Math.max(1, members.knownCount())
      const nowMs = clock.nowMs()
      const bucket = buckets.get(customer) ?? { tokens: burst, atMs: nowMs }
      bucket.tokens = Math.min(burst, bucket.tokens + (nowMs - bucket.atMs) / 1000 * ratePerSecond * share)
      bucket.atMs = nowMs
      buckets.set(customer, bucket)
      if (bucket.tokens < 1) return { kind: 'exceeded', retryAfterS: 1 }
      bucket.tokens--
      return { kind: 'granted' }
    },
    answer: () => ({ tokens: 0, validMs: 0 })
  }
}
