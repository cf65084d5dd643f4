type Stats = { n: number, mean: number, m2: number }

/** Measurements of one period with a constant limit. */
export type Phase = {
  limit: number
  startMs: number
  /** Calls dispatched before this time still saw the previous limit's queue in the target. */
  settledMs: number
  endMs: number
  dispatches: number
  saturated: number
  stats: Map<string, Stats>
}

/** Share of the difference of the limits that was queue inside the target, with its standard error. */
export type Estimate = { queueShare: number, error: number }

const MIN_SAMPLES = 4
const MAX_OPERATIONS = 64

/** Opens a phase. */
export function createPhase (limit: number, startMs: number, settleMs: number, collectMs: number): Phase {
  const settledMs = startMs + settleMs
  return { limit, startMs, settledMs, endMs: settledMs + collectMs, dispatches: 0, saturated: 0, stats: new Map() }
}

/** Adds the time that the target itself took for a call dispatched in the phase. */
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
 * Compares two phases. By Little's law, calls beyond the target's slots only add queue: the mean time per call then grows by
 * (difference of the limits) / throughput. Operations are compared with themselves only, so a change of their mix does not matter.
 * Undefined when there are too few samples.
 */
export function comparePhases (a: Phase, b: Phase): Estimate | undefined {
  const [high, low] = a.limit > b.limit ? [a, b] : [b, a]
  let weight = 0
  let growthMs = 0
  let variance = 0
  let samples = 0
  for (const [opKey, h] of high.stats) {
    const l = low.stats.get(opKey)
    samples += h.n + (l?.n ?? 0)
    if (l === undefined || h.n < MIN_SAMPLES || l.n < MIN_SAMPLES) continue
    const w = h.n + l.n
    weight += w
    growthMs += w * (h.mean - l.mean)
    variance += w * w * (h.m2 / (h.n - 1) / h.n + l.m2 / (l.n - 1) / l.n)
  }
  if (weight === 0) return undefined
  const collectedMs = high.endMs - high.settledMs + low.endMs - low.settledMs
  const expectedMs = (high.limit - low.limit) / (samples / collectedMs)
  // A floor on the error keeps identical latencies from looking like certainty.
  return { queueShare: growthMs / weight / expectedMs, error: Math.max(0.05, Math.sqrt(variance) / weight / expectedMs) }
}
