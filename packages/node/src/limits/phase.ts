/** Sample count, mean and sum of squared differences from the mean (Welford's algorithm). */
type Stats = { n: number, mean: number, m2: number }

/** Latency samples of one period with a constant limit. */
export type Phase = {
  limit: number
  startMs: number
  /** Start of sampling. Calls dispatched earlier are still delayed by the queue that the previous limit caused in the target. */
  settledMs: number
  endMs: number
  dispatches: number
  saturated: number
  stats: Map<string, Stats>
}

/** Share of the difference between two limits that became queue inside the target, with its standard error. */
export type Estimate = { queueShare: number, error: number }

/** Samples of an operation that a phase needs for a comparison. */
const MIN_SAMPLES = 4
const MAX_OPERATIONS = 64

/** Creates a phase that settles for `settleMs` and then collects samples for `collectMs`. */
export function createPhase (limit: number, startMs: number, settleMs: number, collectMs: number): Phase {
  const settledMs = startMs + settleMs
  return { limit, startMs, settledMs, endMs: settledMs + collectMs, dispatches: 0, saturated: 0, stats: new Map() }
}

/** Adds a sample: the time that the target itself took for a call dispatched in the phase, in ms. */
export function addSample (phase: Phase, opKey: string, ownMs: number): void {
  let stats = phase.stats.get(opKey)
  if (stats === undefined) {
    if (phase.stats.size >= MAX_OPERATIONS) return
    stats = { n: 0, mean: 0, m2: 0 }
    phase.stats.set(opKey, stats)
  }
  stats.n++
  const delta = ownMs - stats.mean
  stats.mean += delta / stats.n
  stats.m2 += delta * (ownMs - stats.mean)
}

/**
 * Compares two phases. Calls beyond the target's slots only lengthen its queue, and by Little's law the mean time per call then grows by
 * (difference of the limits) / throughput. Each operation is compared only with itself, so that a change of the mix has no effect.
 * Returns undefined when there are too few samples.
 */
export function comparePhases (a: Phase, b: Phase): Estimate | undefined {
  const [high, low] = a.limit > b.limit ? [a, b] : [b, a]
  let weight = 0
  let growthMs = 0
  let variance = 0
  let samples = 0
  for (const [opKey, highStats] of high.stats) {
    const lowStats = low.stats.get(opKey)
    samples += highStats.n + (lowStats?.n ?? 0)
    if (lowStats === undefined || highStats.n < MIN_SAMPLES || lowStats.n < MIN_SAMPLES) continue
    const sampleCount = highStats.n + lowStats.n
    weight += sampleCount
    growthMs += sampleCount * (highStats.mean - lowStats.mean)
    variance += sampleCount * sampleCount * (highStats.m2 / (highStats.n - 1) / highStats.n + lowStats.m2 / (lowStats.n - 1) / lowStats.n)
  }
  if (weight === 0) return undefined
  const collectedMs = high.endMs - high.settledMs + low.endMs - low.settledMs
  const expectedMs = (high.limit - low.limit) / (samples / collectedMs)
  // The minimum error keeps a variance near zero, from identical latencies, from giving this pair unlimited weight.
  return { queueShare: growthMs / weight / expectedMs, error: Math.max(0.05, Math.sqrt(variance) / weight / expectedMs) }
}
