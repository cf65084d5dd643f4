import type { Fleet } from '../fleet/fleet.js'
import { recoveryMs } from '../load/accounting.js'
import { deepestService, nominalCapacity, type Side } from '../scenarios/fleet-spec.js'
import type { Scenario, ScenarioEvent } from '../scenarios/schema.js'
import { findPeak, runSegment, type PeakReport, type SegmentReport } from '../scenarios/segment.js'
import { SIDES, withFleet } from '../scenarios/sides.js'

/** Demands that are held, in factors of the product's peak. */
export const HELD_FACTORS = [2, 5, 10]
const HOLD_S = 7
const HOLD_SETTLE_S = 2
const CALM_FACTOR = 0.5
const CALM_S = 3

/** Time before the surge, in s; longer than the longest deadline, so that nothing of the held demands is left. */
const REST_S = 9
const SURGE = { beforeS: 6, triggerS: 8, afterS: 14, baseFactor: 0.8, surgeFactor: 3, slowFactor: 10, settleS: 2 }

/** What one side did in one run. */
export type SideReport = {
  side: Side
  peak: PeakReport
  /** Demand at 2, 5 and 10 times the product's peak, with calm phases between them. */
  holds: SegmentReport
  surge: SegmentReport
  /** Goodput at each of the held factors against this side's own peak. */
  ratios: number[]
  /** From the end of the trigger until 95% of the level before it; undefined when it did not come back. */
  recoverySeconds: number | undefined
}

export type RunReport = { scenario: string, seed: number, deepest: string, product: SideReport, baseline: SideReport }

/** Start and end of the surge's trigger, in s. */
export const TRIGGER_S: [number, number] = [REST_S + SURGE.beforeS, REST_S + SURGE.beforeS + SURGE.triggerS]

export type RunOptions = { seed: number, keepFolders: boolean, log: (line: string) => void }

/** Measures both sides one after the other, the baseline on the same arrivals as the product. */
export async function runOverload (scenario: Scenario, options: RunOptions): Promise<RunReport> {
  const { seed, log } = options
  const sides: Partial<Record<Side, SideReport>> = {}
  let referencePerSecond: number | undefined
  for (const side of SIDES) {
    log(`run with seed ${seed}: ${side}`)
    const measure = (fleet: Fleet) => measureSide(fleet, scenario, side, options, referencePerSecond)
    const report: SideReport = await withFleet(scenario, side, measure, options.keepFolders)
    referencePerSecond ??= report.peak.perSecond
    sides[side] = report
  }
  return { scenario: scenario.name, seed, deepest: deepestService(scenario), product: sides.product!, baseline: sides.baseline! }
}

async function measureSide (
  fleet: Fleet, scenario: Scenario, side: Side, { seed, log }: RunOptions, referencePerSecond: number | undefined
): Promise<SideReport> {
  const peak = await findPeak(fleet, scenario, nominalCapacity(scenario), seed)
  const perSecond = referencePerSecond ?? peak.perSecond
  log(`  peak ${peak.perSecond.toFixed(0)} requests/s`)
  const calm = { name: 'calm', perSecond: CALM_FACTOR * perSecond, seconds: CALM_S }
  const phases = HELD_FACTORS.flatMap((factor) => [calm, { name: `${factor}x`, perSecond: factor * perSecond, seconds: HOLD_S }])
  const holds = await runSegment(fleet, scenario, { phases, events: [], seed: seed + 1, id: 'holds', settleS: HOLD_SETTLE_S })
  const ratios = HELD_FACTORS.map((factor) => holds.phases.find((phase) => phase.name === `${factor}x`)!.goodputPerSecond / peak.perSecond)
  log(`  goodput against the own peak: ${HELD_FACTORS.map((factor, i) => `${factor}x ${ratios[i]!.toFixed(2)}`).join(', ')}`)
  const surge = await runSegment(fleet, scenario, surgeSegment(scenario, perSecond, seed + 2))
  const recovered = recoveryMs(surge.timeline, [(REST_S + SURGE.settleS) * 1000, TRIGGER_S[0] * 1000], TRIGGER_S[1] * 1000)
  const recoverySeconds = recovered === undefined ? undefined : recovered / 1000
  log(`  recovery ${recoverySeconds === undefined ? `not within ${SURGE.afterS} s` : `${recoverySeconds} s`}`)
  return { side, peak, holds, surge, ratios, recoverySeconds }
}

function surgeSegment (scenario: Scenario, perSecond: number, seed: number) {
  const service = deepestService(scenario)
  const [fromS, toS] = TRIGGER_S
  const events: ScenarioEvent[] = [{ kind: 'slow', atS: fromS, service, factor: SURGE.slowFactor }, { kind: 'heal', atS: toS, service }]
  const phases = [
    { name: 'calm', perSecond: CALM_FACTOR * perSecond, seconds: REST_S },
    { name: 'before', perSecond: SURGE.baseFactor * perSecond, seconds: SURGE.beforeS },
    { name: 'trigger', perSecond: SURGE.surgeFactor * perSecond, seconds: SURGE.triggerS },
    { name: 'after', perSecond: SURGE.baseFactor * perSecond, seconds: SURGE.afterS }
  ]
  return { phases, events, seed, id: 'surge', settleS: SURGE.settleS }
}
