import type { RunReport, VariantReport } from '../bench/overload.js'
import type { FleetCounters } from '../scenarios/counters.js'
import { rounded } from './table.js'

type MedianAndRange = { median: number | null, min: number | null, max: number | null }

/** Median and range over runs; an undefined value (a run that did not recover) sorts above all others and is reported as null. */
function medianAndRange (values: Array<number | undefined>): MedianAndRange {
  const sorted = values.map((value) => value ?? Infinity).sort((a, b) => a - b)
  const shown = (value: number | undefined) => value === undefined || value === Infinity ? null : rounded(value, 3)
  return { median: shown(sorted[Math.floor((sorted.length - 1) / 2)]), min: shown(sorted[0]), max: shown(sorted[sorted.length - 1]) }
}

/** Summary that the benchmark prints as its last line: medians over the runs, and sums of the counts that must be 0. */
export function overloadSummary (reports: RunReport[], seed: number) {
  const acrossRuns = (variant: 'product' | 'baseline', value: (report: VariantReport) => number | undefined) => medianAndRange(reports.map((run) => value(run[variant])))
  const ratioAt10x = (report: VariantReport) => report.ratios[report.ratios.length - 1]
  const sum = (variant: 'product' | 'baseline', value: (report: VariantReport) => number) => reports.reduce((total, run) => total + value(run[variant]), 0)
  const segments = (report: VariantReport) => [report.peak.segment, report.holds, report.surge]
  const counted = (pick: (counters: FleetCounters) => number) => (report: VariantReport) =>
    segments(report).reduce((total, { counters }) => total + pick(counters), 0)
  const duplicates = counted((counters) => counters.duplicates)
  const failedBytes = counted((counters) => counters.regionBytesFailed)
  const totalBytes = counted((counters) => counters.regionBytesFailed + counters.regionBytesCompleted)
  const goodput = { product: acrossRuns('product', ratioAt10x), baseline: acrossRuns('baseline', ratioAt10x) }
  const recovery = { product: acrossRuns('product', (r) => r.recoverySeconds), baseline: acrossRuns('baseline', (r) => r.recoverySeconds) }
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
    peakPerSecond: acrossRuns('product', (r) => r.peak.perSecond),
    baselinePeakPerSecond: acrossRuns('baseline', (r) => r.peak.perSecond),
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
