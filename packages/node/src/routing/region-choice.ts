import type { Random } from '@orioleslip/core'
import type { RegionLatencies } from './region-latencies.js'

/** A call for which a target has been found in this node's region. */
export type RegionQuestion = {
  opKey: string
  /** Time left until the deadline of the call, in ms. */
  availableMs: number
  /** Returns the other regions that have a target with free slots; called only for a call that is at risk. */
  otherRegions: () => readonly string[]
}

/** Decides whether a call leaves its region; returns the region to send it to, or undefined to keep it. */
export type RegionChoice = (question: RegionQuestion) => string | undefined

/**
 * A call is at risk when less than this many mean latencies are left for it: the slowest calls in a hundred take about four times the
 * mean. Other calls stay, because a faster answer is worth less than the inter-region traffic that it costs.
 */
const RISK_LATENCIES = 4
/** A call that is at risk leaves only for a region that is faster by this factor. */
const WORTHWHILE_FACTOR = 0.75
/** Largest share of an operation's calls at risk that leave, so that a slow region is relieved without flooding the others. */
const MAX_LEAVING_SHARE = 0.5
/** Share of the calls at risk that are sent to a region without recent samples, to measure it. */
const EXPLORING_SHARE = 0.02

/** Creates the decision for the calls of a node in the region `self`. */
export function createRegionChoice (opts: { self: () => string, latencies: RegionLatencies, random: Random }): RegionChoice {
  const { self, latencies, random } = opts
  return ({ opKey, availableMs, otherRegions: findOtherRegions }) => {
    const localMs = latencies.meanMs(self(), opKey)
    if (localMs === undefined) return undefined
    const risk = localMs * RISK_LATENCIES / Math.max(1, availableMs) - 1
    if (risk <= 0) return undefined
    const otherRegions = findOtherRegions()
    if (otherRegions.length === 0) return undefined
    const draw = random.next()
    const unknown = otherRegions.filter((region) => latencies.meanMs(region, opKey) === undefined)
    if (unknown.length > 0 && draw < EXPLORING_SHARE) return unknown[random.int(unknown.length)]
    const fastest = fastestOf(otherRegions, (region) => latencies.meanMs(region, opKey))
    if (fastest === undefined || fastest.ms >= localMs * WORTHWHILE_FACTOR) return undefined
    return draw < Math.min(MAX_LEAVING_SHARE, risk) ? fastest.region : undefined
  }
}

type MeasuredRegion = { region: string, ms: number }

function fastestOf (regions: readonly string[], meanMs: (region: string) => number | undefined): MeasuredRegion | undefined {
  let fastest: MeasuredRegion | undefined
  for (const region of regions) {
    const ms = meanMs(region)
    if (ms !== undefined && (fastest === undefined || ms < fastest.ms)) fastest = { region, ms }
  }
  return fastest
}
