import type { Clock } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

/** Maximum number of customers for which an owner keeps a bucket; about 4 MB. */
export const MAX_BUCKETS = 20_000

/** Longest time ahead for which future tokens are assigned to callers. */
const MAX_SLOT_MS = 1000

type Bucket = { tokens: number, atMs: number, capacity: number, slotMs: number }

/** Token buckets of the customers that this node owns. */
export type Buckets = {
  /** Takes up to `wanted` whole tokens and returns their number; `ratePerSecond` is already multiplied by the visible fraction. */
  take: (customer: string, wanted: number, ratePerSecond: number, burst: number) => number
  /** Time until the next token, in ms. */
  waitMs: (customer: string, ratePerSecond: number) => number
  /** Like `waitMs`, but assigns each caller a later token, so that all rejected nodes together send requests at about the rate. */
  slotMs: (customer: string, ratePerSecond: number) => number
  /** Drops the buckets of customers that now have another owner. */
  retainOwned: (isOwn: (customer: string) => boolean) => void
}

/** Creates the buckets of an owner. */
export function createBuckets (clock: Clock, maxBuckets = MAX_BUCKETS): Buckets {
  // Until this time a previous owner or an evicted bucket may have granted tokens, so a new bucket starts with the tokens earned since.
  let fillStartMs = clock.nowMs()
  const buckets = new LRUCache<string, Bucket>({
    max: maxBuckets,
    dispose: (bucket, _customer, reason) => {
      if (reason === 'evict' && bucket.tokens < bucket.capacity) fillStartMs = clock.nowMs()
    }
  })

  const refill = (customer: string, ratePerSecond: number, burst: number): Bucket => {
    const nowMs = clock.nowMs()
    const bucket = buckets.get(customer)
    const capacity = Math.max(1, burst)
    if (bucket === undefined) {
      const created = { tokens: Math.min(capacity, (nowMs - fillStartMs) / 1000 * ratePerSecond), atMs: nowMs, capacity, slotMs: 0 }
      buckets.set(customer, created)
      return created
    }
    bucket.tokens = Math.min(capacity, bucket.tokens + (nowMs - bucket.atMs) / 1000 * ratePerSecond)
    bucket.atMs = nowMs
    bucket.capacity = capacity
    return bucket
  }

  const waitMs = (customer: string, ratePerSecond: number) => {
    const tokens = buckets.peek(customer)?.tokens ?? 0
    return ratePerSecond <= 0 ? Infinity : Math.max(0, 1 - tokens) / ratePerSecond * 1000
  }

  return {
    take: (customer, wanted, ratePerSecond, burst) => {
      const bucket = refill(customer, ratePerSecond, burst)
      const taken = Math.max(0, Math.min(wanted, Math.floor(bucket.tokens)))
      bucket.tokens -= taken
      return taken
    },
    waitMs,
    slotMs: (customer, ratePerSecond) => {
      const nowMs = clock.nowMs()
      const bucket = buckets.peek(customer)
      const firstMs = waitMs(customer, ratePerSecond)
      if (bucket === undefined || firstMs > MAX_SLOT_MS) return firstMs
      bucket.slotMs = Math.min(nowMs + MAX_SLOT_MS, Math.max(nowMs + firstMs, bucket.slotMs + 1000 / ratePerSecond))
      return bucket.slotMs - nowMs
    },
    retainOwned: (isOwn) => {
      for (const customer of [...buckets.keys()]) if (!isOwn(customer)) buckets.delete(customer)
      fillStartMs = clock.nowMs()
    }
  }
}
