import { build, type Histogram } from 'hdr-histogram-js'
import type { RequestResult } from './client.js'
import type { Arrival, RatePhase } from './schedule.js'

/** Counts of the requests of one operation that were scheduled in one phase. */
export type Tally = {
  arrivals: number
  good: number
  tries: number
  /** Number of requests that did not become goodput, by result code. */
  failures: Record<string, number>
  latency: LatencySummary
}

/** Latency of successful requests, measured from the scheduled time, in ms. */
export type LatencySummary = { p50Ms: number, p99Ms: number, maxMs: number }

/** Results of one phase of a run. */
export type PhaseReport = {
  name: string
  perSecond: number
  /** Duration of the phase without its settling time, in s. */
  seconds: number
  /** Goodput that completed in the measured part of the phase, whenever it was requested; a backlog that completes later is not counted. */
  goodputPerSecond: number
  /** By operation name. */
  operations: Record<string, Tally>
  /** Requests that received the response of another request; has to be 0. */
  foreign: number
  /** 99th percentile of the load generator's delay, in ms. */
  lagP99Ms: number
}

/** Arrivals and goodput by operation and interval of the run; both are counted at the scheduled time. */
export type Timeline = { bucketMs: number, arrivals: number[][], good: number[][] }

const HISTOGRAM = { lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 } as const

const createHistogram = (): Histogram => build(HISTOGRAM)

const microsToMs = (micros: number): number => Math.round(micros) / 1000

function recordMs (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * 1000)))
}

/** Sums up the results by phase and operation. The first `settleS` seconds of each phase are excluded, but at most half of it. */
export function tallyPhases (
  arrivals: Arrival[], results: RequestResult[], phases: RatePhase[], operations: string[], settleS: number
): PhaseReport[] {
  let startMs = 0
  return phases.map((phase, index) => {
    const settledS = Math.min(settleS, phase.seconds / 2)
    const fromMs = startMs + settledS * 1000
    startMs += phase.seconds * 1000
    const measured = arrivals.filter((arrival) => arrival.phase === index && arrival.atMs >= fromMs)
    const lag = createHistogram()
    for (const arrival of measured) recordMs(lag, results[arrival.id]!.lagMs)
    const tallies = operations.map((_, op) => tally(measured.filter((arrival) => arrival.operation === op), results))
    const endMs = startMs
    const completedCount = arrivals.filter((arrival) => {
      const { good, latencyMs } = results[arrival.id]!
      return good && arrival.atMs + latencyMs >= fromMs && arrival.atMs + latencyMs < endMs
    }).length
    const seconds = phase.seconds - settledS
    return {
      name: phase.name,
      perSecond: phase.perSecond,
      seconds,
      goodputPerSecond: completedCount / seconds,
      operations: Object.fromEntries(operations.map((name, op) => [name, tallies[op]!])),
      foreign: measured.filter((arrival) => results[arrival.id]!.code === 'foreign').length,
      lagP99Ms: microsToMs(lag.getValueAtPercentile(99))
    }
  })
}

function tally (arrivals: Arrival[], results: RequestResult[]): Tally {
  const latency = createHistogram()
  const failures: Record<string, number> = {}
  let good = 0
  let tries = 0
  for (const arrival of arrivals) {
    const result = results[arrival.id]!
    tries += result.tries
    if (result.good) {
      good++
      recordMs(latency, result.latencyMs)
    } else {
      failures[result.code] = (failures[result.code] ?? 0) + 1
    }
  }
  const msAt = (percentile: number) => good === 0 ? 0 : microsToMs(latency.getValueAtPercentile(percentile))
  return { arrivals: arrivals.length, good, tries, failures, latency: { p50Ms: msAt(50), p99Ms: msAt(99), maxMs: msAt(100) } }
}

/** Counts arrivals and goodput of each operation in intervals of `bucketMs`. */
export function timelineOf (
  arrivals: Arrival[], results: RequestResult[], phases: RatePhase[], operations: number, bucketMs: number
): Timeline {
  const totalMs = phases.reduce((sum, phase) => sum + phase.seconds * 1000, 0)
  const empty = () => Array.from({ length: operations }, () => new Array<number>(Math.ceil(totalMs / bucketMs)).fill(0))
  const timeline: Timeline = { bucketMs, arrivals: empty(), good: empty() }
  for (const arrival of arrivals) {
    const bucket = Math.floor(arrival.atMs / bucketMs)
    timeline.arrivals[arrival.operation]![bucket]!++
    if (results[arrival.id]!.good) timeline.good[arrival.operation]![bucket]!++
  }
  return timeline
}

const RECOVERED_SHARE = 0.95
const WINDOW_MS = 1000
/** Number of following windows that also have to reach the level, so that a single good second does not count as recovery. */
const HOLD_WINDOWS = 2

/**
 * Time from `triggerEndMs` until goodput is back at 95% of its level in the interval `beforeMs`, in ms; undefined when it does not recover.
 * The level is the share of arrivals that became goodput, so that random variation of the arrival rate has no effect.
 */
export function recoveryMs (timeline: Timeline, beforeMs: [number, number], triggerEndMs: number): number | undefined {
  const goodputShare = (fromMs: number, toMs: number): number | undefined => {
    const sumInRange = (rows: number[][]) => rows.reduce((sum, row) =>
      sum + row.slice(Math.round(fromMs / timeline.bucketMs), Math.round(toMs / timeline.bucketMs)).reduce((a, b) => a + b, 0), 0)
    const arrived = sumInRange(timeline.arrivals)
    return arrived === 0 ? undefined : sumInRange(timeline.good) / arrived
  }
  const baselineShare = goodputShare(...beforeMs)
  if (baselineShare === undefined) return undefined
  const endMs = (timeline.arrivals[0]?.length ?? 0) * timeline.bucketMs
  for (let fromMs = triggerEndMs; fromMs + WINDOW_MS * (1 + HOLD_WINDOWS) <= endMs; fromMs += timeline.bucketMs) {
    const windows = Array.from({ length: 1 + HOLD_WINDOWS }, (_, i) => goodputShare(fromMs + i * WINDOW_MS, fromMs + (i + 1) * WINDOW_MS))
    if (windows.every((now) => now !== undefined && now >= RECOVERED_SHARE * baselineShare)) return fromMs - triggerEndMs
  }
  return undefined
}
