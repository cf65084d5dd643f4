import type { Fleet } from '../fleet/fleet.js'
import { recoveryMs } from '../load/accounting.js'
import { deepestService, nominalCapacity, type Variant } from '../scenarios/fleet-spec.js'
import type { Scenario, ScenarioEvent } from '../scenarios/schema.js'
import { findPeak, runSegment, type PeakReport, type SegmentReport } from '../scenarios/segment.js'
import { VARIANTS, withFleet } from '../scenarios/variants.js'

/** Demand levels that are held for some seconds each, as multiples of the product's peak. */
export const HELD_FACTORS = [2, 5, 10]
const HOLD_S = 7
const HOLD_SETTLE_S = 2
const CALM_FACTOR = 0.5
const CALM_S = 3

/** Time before the surge, in s; longer than the longest deadline, so that no request of the held demand levels is still running. */
const REST_S = 9
const SURGE = { beforeS: 6, triggerS: 8, afterS: 14, baseFactor: 0.8, surgeFactor: 3, slowFactor: 10, settleS: 2 }

/** Results of one variant in one run. */
export type VariantReport = {
  side: Variant
  peak: PeakReport
  /** Demand at 2, 5 and 10 times the product's peak, with calm phases between them. */
  holds: SegmentReport
  surge: SegmentReport
  /** Goodput at each held demand level as a fraction of this variant's own peak. */
  ratios: number[]
  /** Time from the end of the trigger until goodput is back at 95% of its level before the trigger; undefined when it did not recover. */
  recoverySeconds: number | undefined
}

/** Results of both variants in one run. */
export type RunReport = { scenario: string, seed: number, deepest: string, product: VariantReport, baseline: VariantReport }

/** Start and end of the surge's trigger, in s. */
export const TRIGGER_S: [number, number] = [REST_S + SURGE.beforeS, REST_S + SURGE.beforeS + SURGE.triggerS]

/** Options of one run; each segment derives its seed from `seed`. */
export type RunOptions = { seed: number, keepFolders: boolean, log: (line: string) => void }

/** Measures both variants one after the other, the baseline with the same arrivals as the product. */
export async function runOverload (scenario: Scenario, options: RunOptions): Promise<RunReport> {
  const { seed, log } = options
  const reports: Partial<Record<Variant, VariantReport>> = {}
  let referencePerSecond: number | undefined
  for (const variant of VARIANTS) {
    log(`run with seed ${seed}: ${variant}`)
    const measure = (fleet: Fleet) => measureVariant(fleet, scenario, variant, options, referencePerSecond)
    const report: VariantReport = await withFleet(scenario, variant, measure, options.keepFolders)
    referencePerSecond ??= report.peak.perSecond
    reports[variant] = report
  }
  return { scenario: scenario.name, seed, deepest: deepestService(scenario), product: reports.product!, baseline: reports.baseline! }
}

async function measureVariant (
  fleet: Fleet, scenario: Scenario, variant: Variant, { seed, log }: RunOptions, referencePerSecond: number | undefined
): Promise<VariantReport> {
  const peak = await findPeak(fleet, scenario, nominalCapacity(scenario), seed)
  const perSecond = referencePerSecond ?? peak.perSecond
  log(`  peak ${peak.perSecond.toFixed(0)} requests/s`)
  const calm = { name: 'calm', perSecond: CALM_FACTOR * perSecond, seconds: CALM_S }
  const phases = HELD_FACTORS.flatMap((factor) => [calm, { name: `${factor}x`, perSecond: factor * perSecond, seconds: HOLD_S }])
  const holds = await runSegment(fleet, scenario, { phases, events: [], seed: seed + 1, id: 'holds', settleS: HOLD_SETTLE_S })
  const ratios = HELD_FACTORS.map((factor) => holds.phases.find((phase) => phase.name === `${factor}x`)!.goodputPerSecond / peak.perSecond)
  log(`  goodput against the own peak: ${HELD_FACTORS.map((factor, i) => `${factor}x ${ratios[i]!.toFixed(2)}`).join(', ')}`)
  const surge = await runSegment(fleet, scenario, surgeSegment(scenario, perSecond, seed + 2))
  const recoveredMs = recoveryMs(surge.timeline, [(REST_S + SURGE.settleS) * 1000, TRIGGER_S[0] * 1000], TRIGGER_S[1] * 1000)
  const recoverySeconds = recoveredMs === undefined ? undefined : recoveredMs / 1000
  log(`  recovery ${recoverySeconds === undefined ? `not within ${SURGE.afterS} s` : `${recoverySeconds} s`}`)
  return { side: variant, peak, holds, surge, ratios, recoverySeconds }
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
