import type { Clock } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

/** Volume reserved for one call to another region. */
export type VolumeReservation = {
  /** Replaces the reserved estimate by the bytes that the call really moved. */
  settle: (bytes: number) => void
}

/** Inter-region volume of each customer and operation on this node. */
export type InterRegionBudget = {
  /** Reserves the operation's usual volume; undefined when none is left and the call must stay in its region. */
  reserve: (customer: string, opKey: string, bytesPerSecond: number) => VolumeReservation | undefined
}

/** Volume that may be spent at once, in seconds of the rate. */
export const VOLUME_BURST_S = 1

const MAX_BUCKETS = 10_000
const MAX_OPERATIONS = 2000
const SIZE_WEIGHT = 0.1

/**
 * Creates the budget of this node. `share` is this node's part of the plan's volume, by default 1 / known nodes, so that over
 * any time T the calls of all nodes together move at most `rate * (T + 1 s)` plus what calls exceed their operation's usual volume.
 */
export function createInterRegionBudget (opts: { clock: Clock, share: () => number }): InterRegionBudget {
  const { clock, share } = opts
  let evictions = 0
  const buckets = new LRUCache<string, { bytes: number, atMs: number }>({ max: MAX_BUCKETS, dispose: () => { evictions++ } })
  const usualBytes = new LRUCache<string, { bytes: number }>({ max: MAX_OPERATIONS })

  return {
    reserve: (customer, opKey, bytesPerSecond) => {
      const rate = bytesPerSecond * share()
      if (rate <= 0) return undefined
      const nowMs = clock.nowMs()
      const id = `${customer.length} ${customer} ${opKey}`
      // After an eviction a new bucket may belong to a customer who has spent its volume, so it starts empty.
      const bucket = buckets.get(id) ?? { bytes: evictions === 0 ? rate * VOLUME_BURST_S : 0, atMs: nowMs }
      bucket.bytes = Math.min(rate * VOLUME_BURST_S, bucket.bytes + rate * (nowMs - bucket.atMs) / 1000)
      bucket.atMs = nowMs
      buckets.set(id, bucket)
      if (bucket.bytes <= 0) return undefined
      const usual = usualBytes.get(opKey) ?? { bytes: 0 }
      const reserved = usual.bytes
      // The balance may go below zero by one call, so that a share smaller than one call still lets a call through now and then.
      bucket.bytes -= reserved
      let settled = false
      return {
        settle: (bytes) => {
          if (settled) return
          settled = true
          bucket.bytes += reserved - bytes
          usualBytes.set(opKey, { bytes: usual.bytes === 0 ? bytes : usual.bytes + (bytes - usual.bytes) * SIZE_WEIGHT })
        }
      }
    }
  }
}
