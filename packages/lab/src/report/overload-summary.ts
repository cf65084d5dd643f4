import type { RunReport, SideReport } from '../bench/overload.js'
import type { FleetCounters } from '../scenarios/counters.js'
import { rounded } from './table.js'

type Spread = { median: number | null, min: number | null, max: number | null }

/** Median and range; a run that did not recover counts as longer than any other and shows as null. */
function spread (values: Array<number | undefined>): Spread {
  const sorted = values.map((value) => value ?? Infinity).sort((a, b) => a - b)
  const shown = (value: number | undefined) => value === undefined || value === Infinity ? null : rounded(value, 3)
  return { median: shown(sorted[Math.floor((sorted.length - 1) / 2)]), min: shown(sorted[0]), max: shown(sorted[sorted.length - 1]) }
}

/** The line that ends the benchmark: medians over the runs, sums for what has to be 0. */
export function overloadSummary (reports: RunReport[], seed: number) {
  const over = (side: 'product' | 'baseline', value: (report: SideReport) => number | undefined) => spread(reports.map((run) => value(run[side])))
  const at10 = (report: SideReport) => report.ratios[report.ratios.length - 1]
  const sum = (side: 'product' | 'baseline', value: (report: SideReport) => number) => reports.reduce((total, run) => total + value(run[side]), 0)
  const segments = (report: SideReport) => [report.peak.segment, report.holds, report.surge]
  const counted = (pick: (counters: FleetCounters) => number) => (report: SideReport) =>
    segments(report).reduce((total, { counters }) => total + pick(counters), 0)
  const duplicates = counted((counters) => counters.duplicates)
  const failedBytes = counted((counters) => counters.regionBytesFailed)
  const totalBytes = counted((counters) => counters.regionBytesFailed + counters.regionBytesCompleted)
  const goodput = { product: over('product', at10), baseline: over('baseline', at10) }
  const recovery = { product: over('product', (r) => r.recoverySeconds), baseline: over('baseline', (r) => r.recoverySeconds) }
  return {
    goodputRatio: goodput.product.median,
    baselineGoodputRatio: goodput.baseline.median,
    recoverySeconds: recovery.product.median,
    baselineRecoverySeconds: recovery.baseline.median,
    duplicates: sum('product', duplicates),
    baselineDuplicates: sum('baseline', duplicates),
    regionBytesOnFailed: sum('product', failedBytes),
    baselineRegionBytesOnFailed: sum('baseline', failedBytes),
    regionBytes: sum('product', totalBytes),
    peakPerSecond: over('product', (r) => r.peak.perSecond),
    baselinePeakPerSecond: over('baseline', (r) => r.peak.perSecond),
    goodputRatioSpread: goodput.product,
    baselineGoodputRatioSpread: goodput.baseline,
    recoverySecondsSpread: recovery.product,
    baselineRecoverySecondsSpread: recovery.baseline,
    foreignAnswers: sum('product', (r) => segments(r).flatMap(({ phases }) => phases).reduce((total, phase) => total + phase.foreign, 0)),
    machine: reports.map((run) => ({ product: run.product.holds.machine, baseline: run.baseline.holds.machine })),
    scenario: reports[0]?.scenario,
    seed,
    runs: reports.length
  }
}
