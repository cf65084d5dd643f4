import type { Clock } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

/** Recent latency of each operation. */
export type Latencies = {
  add: (opKey: string, latencyMs: number) => void
  /** Adds a call that was cancelled after `latencyMs`: its full latency is at least that. */
  addLowerBound: (opKey: string, latencyMs: number) => void
  /** Recent median in ms; 0 for an operation without samples. */
  p50Ms: (opKey: string) => number
}

// Operation keys come from the plans; the limit only matters when plans are replaced many times.
const MAX_OPERATIONS = 2000
// Each sample moves the median by at most 8%, so a single outlier has little effect and a 10x change is followed in about 30 samples.
const MAX_STEP = 0.08
// Half-life of the estimate without new samples, which applies after the grace time. Without it, one slow period would keep an operation
// refused forever, since refused calls yield no samples.
const IDLE_HALF_LIFE_MS = 2000
const IDLE_GRACE_MS = 1000

type Entry = { medianMs: number, updatedMs: number }

/** Creates a tracker of the median latency per operation. */
export function createLatencies (clock: Clock): Latencies {
  const entries = new LRUCache<string, Entry>({ max: MAX_OPERATIONS })

  const current = (entry: Entry): number => {
    const idleMs = clock.nowMs() - entry.updatedMs - IDLE_GRACE_MS
    return idleMs <= 0 ? entry.medianMs : entry.medianMs * 0.5 ** (idleMs / IDLE_HALF_LIFE_MS)
  }
  const add = (opKey: string, latencyMs: number): void => {
    const sampleMs = Math.max(0.01, latencyMs)
    const entry = entries.get(opKey)
    if (entry === undefined) {
      entries.set(opKey, { medianMs: sampleMs, updatedMs: clock.nowMs() })
      return
    }
    const medianMs = current(entry)
    entry.medianMs = sampleMs > medianMs ? Math.min(sampleMs, medianMs * (1 + MAX_STEP)) : Math.max(sampleMs, medianMs / (1 + MAX_STEP))
    entry.updatedMs = clock.nowMs()
  }
  return {
    add,
    addLowerBound: (opKey, latencyMs) => {
      const entry = entries.get(opKey)
      if (entry === undefined || latencyMs > current(entry)) add(opKey, latencyMs)
    },
    p50Ms: (opKey) => {
      const entry = entries.get(opKey)
      return entry === undefined ? 0 : current(entry)
    }
  }
}
