import type { Clock } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

/** Mean latency of each operation in each region, as seen from this node with the way there and back. */
export type RegionLatencies = {
  add: (region: string, opKey: string, latencyMs: number) => void
  /** Adds a call that was given up after `latencyMs`: it would have taken at least that long. */
  addLowerBound: (region: string, opKey: string, latencyMs: number) => void
  /** Recent mean in ms; undefined without a recent sample. */
  meanMs: (region: string, opKey: string) => number | undefined
}

/** Operations times regions; the oldest is dropped beyond it. */
const MAX_ENTRIES = 4000
/** Weight of one sample in the moving average, which thus covers about the last 10 calls. */
const SAMPLE_WEIGHT = 0.1
/** Largest factor by which one sample counts above the mean, so that a single outlier does not move traffic. */
const MAX_SAMPLE_FACTOR = 4
/** Age from which samples say nothing about the region any more, in ms. */
const SAMPLE_LIFE_MS = 30_000

type Entry = { meanMs: number, atMs: number }

/** Creates the statistics of this node. */
export function createRegionLatencies (clock: Clock): RegionLatencies {
  const entries = new LRUCache<string, Entry>({ max: MAX_ENTRIES })
  const keyOf = (region: string, opKey: string) => `${region} ${opKey}`

  const current = (key: string): Entry | undefined => {
    const entry = entries.get(key)
    return entry === undefined || clock.nowMs() - entry.atMs > SAMPLE_LIFE_MS ? undefined : entry
  }
  const add = (region: string, opKey: string, latencyMs: number) => {
    const key = keyOf(region, opKey)
    const entry = current(key)
    if (entry === undefined) {
      entries.set(key, { meanMs: latencyMs, atMs: clock.nowMs() })
      return
    }
    entry.meanMs += (Math.min(latencyMs, entry.meanMs * MAX_SAMPLE_FACTOR) - entry.meanMs) * SAMPLE_WEIGHT
    entry.atMs = clock.nowMs()
  }
  return {
    add,
    addLowerBound: (region, opKey, latencyMs) => {
      const entry = current(keyOf(region, opKey))
      if (entry === undefined || latencyMs > entry.meanMs) add(region, opKey, latencyMs)
    },
    meanMs: (region, opKey) => current(keyOf(region, opKey))?.meanMs
  }
}
