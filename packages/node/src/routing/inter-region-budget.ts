import type { Clock } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

/** Inter-region volume reserved for one call. */
export type VolumeReservation = {
  /** Replaces the reserved estimate by the number of bytes that the call actually moved. */
  settle: (bytes: number) => void
}

/** Budget of inter-region volume on this node, kept for each customer and operation. */
export type InterRegionBudget = {
  /** Reserves the operation's average volume; undefined if no budget is left and the call must stay in its region. */
  reserve: (customer: string, opKey: string, bytesPerSecond: number) => VolumeReservation | undefined
}

/** Burst of the budget, in seconds of the rate. */
export const VOLUME_BURST_S = 1

const MAX_BUCKETS = 10_000
const MAX_OPERATIONS = 2000
const AVERAGE_WEIGHT = 0.1

/**
 * Creates the budget of this node. `share` is this node's part of the plan's volume, by default 1 / known nodes, so that over
 * any time T the calls of all nodes together move at most `rate * (T + 1 s)` plus the bytes by which calls exceed their reservation.
 */
export function createInterRegionBudget (opts: { clock: Clock, share: () => number }): InterRegionBudget {
  const { clock, share } = opts
  let evictions = 0
  const buckets = new LRUCache<string, { bytes: number, atMs: number }>({ max: MAX_BUCKETS, dispose: () => { evictions++ } })
  const averageBytes = new LRUCache<string, { bytes: number }>({ max: MAX_OPERATIONS })

  return {
    reserve: (customer, opKey, bytesPerSecond) => {
      const rate = bytesPerSecond * share()
      if (rate <= 0) return undefined
      const nowMs = clock.nowMs()
      const id = `${customer.length} ${customer} ${opKey}`
      // After any eviction a customer without a bucket may be one that has spent its evicted bucket, so its new bucket starts empty.
      const bucket = buckets.get(id) ?? { bytes: evictions === 0 ? rate * VOLUME_BURST_S : 0, atMs: nowMs }
      bucket.bytes = Math.min(rate * VOLUME_BURST_S, bucket.bytes + rate * (nowMs - bucket.atMs) / 1000)
      bucket.atMs = nowMs
      buckets.set(id, bucket)
      if (bucket.bytes <= 0) return undefined
      const average = averageBytes.get(opKey) ?? { bytes: 0 }
      const reserved = average.bytes
      // The balance may become negative by one call, so that a share smaller than one call still admits a call from time to time.
      bucket.bytes -= reserved
      let settled = false
      return {
        settle: (bytes) => {
          if (settled) return
          settled = true
          bucket.bytes += reserved - bytes
          averageBytes.set(opKey, { bytes: average.bytes === 0 ? bytes : average.bytes + (bytes - average.bytes) * AVERAGE_WEIGHT })
        }
      }
    }
  }
}
