import type { RunReport, VariantReport } from '../bench/overload.js'
import type { PhaseReport } from '../load/accounting.js'
import type { SegmentReport } from '../scenarios/segment.js'
import { formatTable, rounded } from './table.js'

type NamedOperation = { name: string, importance: string }

/** Goodput of one operation as `good/arrivals per second`. */
function goodputCell (phase: PhaseReport, operation: string): string {
  const tally = phase.operations[operation]
  if (tally === undefined) return ''
  return `${rounded(tally.good / phase.seconds)}/${rounded(tally.arrivals / phase.seconds)}`
}

function topFailures (phase: PhaseReport): string {
  const sums = new Map<string, number>()
  for (const tally of Object.values(phase.operations)) {
    for (const [code, n] of Object.entries(tally.failures)) sums.set(code, (sums.get(code) ?? 0) + n)
  }
  return [...sums].sort((a, b) => b[1] - a[1]).slice(0, 3).map(([code, n]) => `${code} ${n}`).join(', ')
}

/** Goodput by operation in each phase of one run, for both variants. */
export function phasesTable (variants: Array<{ name: string, phases: PhaseReport[] }>, operations: NamedOperation[]): string {
  const head = ['side', 'phase', 'demand/s', 'goodput/s', ...operations.map((op) => `${op.name} (${op.importance})`), 'p99 ms', 'lag ms', 'failures']
  const rows = variants.flatMap(({ name, phases }) => phases.filter((phase) => phase.name !== 'calm').map((phase) => [
    name,
    phase.name,
    rounded(phase.perSecond),
    rounded(phase.goodputPerSecond),
    ...operations.map((op) => goodputCell(phase, op.name)),
    Math.round(Math.max(...Object.values(phase.operations).map((tally) => tally.latency.p99Ms))),
    rounded(phase.lagP99Ms),
    topFailures(phase)
  ]))
  return formatTable([head, ...rows])
}

/** Cost of the load in each segment: resends, retries, wasted target time, inter-region bytes, duplicates. */
export function costsTable (rows: Array<{ variant: string, segment: string, report: SegmentReport, deepest: string }>): string {
  const head = ['side', 'segment', 'resends', 'node retries', 'hop retries', 'target s', 'wasted s', 'runs at deepest / goodput', 'region KB', 'on failed KB',
    'keys', 'duplicates', 'runnable mean/max']
  return formatTable([head, ...rows.map(({ variant, segment, report: { counters, resends, timeline, machine }, deepest }) => {
    const good = timeline.good.flat().reduce((sum, n) => sum + n, 0)
    return [
      variant,
      segment,
      resends,
      counters.nodeRetries,
      counters.hopRetries,
      Math.round(counters.targetBusyMs / 1000),
      Math.round(counters.targetWastedMs / 1000),
      rounded((counters.started[deepest] ?? 0) / Math.max(1, good), 2),
      Math.round((counters.regionBytesCompleted + counters.regionBytesFailed) / 1000),
      Math.round(counters.regionBytesFailed / 1000),
      counters.keys,
      counters.duplicates,
      `${machine.runnableMean}/${machine.runnableMax} of ${machine.cores}`
    ]
  })])
}

/** Tables of one run of the overload benchmark. */
export function overloadTable (report: RunReport, operations: NamedOperation[]): string {
  const variants: VariantReport[] = [report.product, report.baseline]
  const phasesOf = (variant: VariantReport) => [...variant.peak.segment.phases, ...variant.holds.phases, ...variant.surge.phases]
  const phases = phasesTable(variants.map((variant) => ({ name: variant.side, phases: phasesOf(variant) })), operations)
  const costs = costsTable(variants.flatMap((variant) => [
    { variant: variant.side, segment: 'holds', report: variant.holds, deepest: report.deepest },
    { variant: variant.side, segment: 'surge', report: variant.surge, deepest: report.deepest }
  ]))
  return `\nGoodput and arrivals per second by operation\n${phases}\n\nCosts\n${costs}\n`
}
