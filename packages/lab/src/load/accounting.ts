import { build, type Histogram } from 'hdr-histogram-js'
import type { RequestResult } from './client.js'
import type { Arrival, RatePhase } from './schedule.js'

/** Counts of the requests of one operation in one phase, by scheduled time. */
export type Tally = {
  arrivals: number
  good: number
  tries: number
  /** Ends of requests that gave no goodput, by code. */
  failures: Record<string, number>
  latency: LatencySummary
}

/** Latency of goodput from the scheduled time, in ms. */
export type LatencySummary = { p50Ms: number, p99Ms: number, maxMs: number }

export type PhaseReport = {
  name: string
  perSecond: number
  /** Measured part of the phase, in s. */
  seconds: number
  /** Goodput that came back in the measured part, whenever it was requested; a backlog that ends later does not count here. */
  goodputPerSecond: number
  /** By operation name. */
  operations: Record<string, Tally>
  /** Requests with an answer of another request; has to be 0. */
  foreign: number
  /** 99th percentile of how late the generator was, in ms. */
  lagP99Ms: number
}

/** Goodput and arrivals in intervals of the run, by scheduled time. */
export type Timeline = { bucketMs: number, arrivals: number[][], good: number[][] }

const HISTOGRAM = { lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 } as const

const histogram = (): Histogram => build(HISTOGRAM)

const inMs = (micros: number): number => Math.round(micros) / 1000

function record (into: Histogram, ms: number): void {
  into.recordValue(Math.max(1, Math.round(ms * 1000)))
}

/** Adds up the results by phase and operation. The first `settleS` of each phase are left out. */
export function tallyPhases (
  arrivals: Arrival[], results: RequestResult[], phases: RatePhase[], operations: string[], settleS: number
): PhaseReport[] {
  let startMs = 0
  return phases.map((phase, index) => {
    const settledS = Math.min(settleS, phase.seconds / 2)
    const fromMs = startMs + settledS * 1000
    startMs += phase.seconds * 1000
    const picked = arrivals.filter((arrival) => arrival.phase === index && arrival.atMs >= fromMs)
    const lag = histogram()
    for (const arrival of picked) record(lag, results[arrival.id]!.lagMs)
    const tallies = operations.map((_, op) => tally(picked.filter((arrival) => arrival.operation === op), results))
    const endMs = startMs
    const cameBack = arrivals.filter((arrival) => {
      const { good, latencyMs } = results[arrival.id]!
      return good && arrival.atMs + latencyMs >= fromMs && arrival.atMs + latencyMs < endMs
    }).length
    const seconds = phase.seconds - settledS
    return {
      name: phase.name,
      perSecond: phase.perSecond,
      seconds,
      goodputPerSecond: cameBack / seconds,
      operations: Object.fromEntries(operations.map((name, op) => [name, tallies[op]!])),
      foreign: picked.filter((arrival) => results[arrival.id]!.code === 'foreign').length,
      lagP99Ms: inMs(lag.getValueAtPercentile(99))
    }
  })
}

function tally (arrivals: Arrival[], results: RequestResult[]): Tally {
  const latency = histogram()
  const failures: Record<string, number> = {}
  let good = 0
  let tries = 0
  for (const arrival of arrivals) {
    const result = results[arrival.id]!
    tries += result.tries
    if (result.good) {
      good++
      record(latency, result.latencyMs)
    } else {
      failures[result.code] = (failures[result.code] ?? 0) + 1
    }
  }
  const at = (percentile: number) => good === 0 ? 0 : inMs(latency.getValueAtPercentile(percentile))
  return { arrivals: arrivals.length, good, tries, failures, latency: { p50Ms: at(50), p99Ms: at(99), maxMs: at(100) } }
}

/** Counts arrivals and goodput of each operation in intervals of `bucketMs`. */
export function timelineOf (
  arrivals: Arrival[], results: RequestResult[], phases: RatePhase[], operations: number, bucketMs: number
): Timeline {
  const totalMs = phases.reduce((sum, phase) => sum + phase.seconds * 1000, 0)
  const empty = () => Array.from({ length: operations }, () => new Array<number>(Math.ceil(totalMs / bucketMs)).fill(0))
  const line: Timeline = { bucketMs, arrivals: empty(), good: empty() }
  for (const arrival of arrivals) {
    const bucket = Math.floor(arrival.atMs / bucketMs)
    line.arrivals[arrival.operation]![bucket]!++
    if (results[arrival.id]!.good) line.good[arrival.operation]![bucket]!++
  }
  return line
}

const RECOVERED = 0.95
const WINDOW_MS = 1000
/** Windows that have to hold the level, so that a lucky second does not count as recovered. */
const HOLD_WINDOWS = 2

/**
 * Time from `triggerEndMs` until goodput is back at 95% of its level before `triggerStartMs`, in ms; undefined when it does not come back.
 * Levels are shares of the arrivals that became goodput, so that the randomness of the arrivals does not count.
 */
export function recoveryMs (line: Timeline, beforeMs: [number, number], triggerEndMs: number): number | undefined {
  const share = (fromMs: number, toMs: number): number | undefined => {
    const range = (rows: number[][]) => rows.reduce((sum, row) =>
      sum + row.slice(Math.round(fromMs / line.bucketMs), Math.round(toMs / line.bucketMs)).reduce((a, b) => a + b, 0), 0)
    const arrived = range(line.arrivals)
    return arrived === 0 ? undefined : range(line.good) / arrived
  }
  const level = share(...beforeMs)
  if (level === undefined) return undefined
  const endMs = (line.arrivals[0]?.length ?? 0) * line.bucketMs
  for (let fromMs = triggerEndMs; fromMs + WINDOW_MS * (1 + HOLD_WINDOWS) <= endMs; fromMs += line.bucketMs) {
    const windows = Array.from({ length: 1 + HOLD_WINDOWS }, (_, i) => share(fromMs + i * WINDOW_MS, fromMs + (i + 1) * WINDOW_MS))
    if (windows.every((now) => now !== undefined && now >= RECOVERED * level)) return fromMs - triggerEndMs
  }
  return undefined
}
