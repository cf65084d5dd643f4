import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { Command } from 'commander'
import { recoveryMs } from '../load/accounting.js'
import { costsTable, phasesTable } from '../report/overload-table.js'
import { appendJsonLine } from '../report/json-lines.js'
import { surgePlot } from '../report/plot-surge.js'
import { writeSvg } from '../report/svg.js'
import { deepestService, nominalCapacity, type Variant } from './fleet-spec.js'
import { loadScenario } from './scenario-file.js'
import type { Scenario } from './schema.js'
import { BUCKET_MS, findPeak, runSegment, type SegmentReport } from './segment.js'
import { VARIANTS, withFleet } from './variants.js'

const program = new Command('experiment')
  .description('Runs a scenario file with and without overload control, on the same arrivals.')
  .argument('<file>', 'scenario file')
  .option('--seed <n>', 'seed of the arrivals', Number, 1)
  .option('--capacity <n>', 'requests per second that count as factor 1; measured when absent', Number)
  .option('--out <folder>', 'folder for JSON lines and plots', 'out')
  .option('--keep-folders', 'keep the fleets\' settings and logs', false)
  .parse()
const options = program.opts<{ seed: number, capacity?: number, out: string, keepFolders: boolean }>()
const SETTLE_S = 1

const loaded = loadScenario(program.args[0]!)
if (loaded.isErr()) {
  process.stderr.write(`${loaded.error.message}\n`)
  process.exit(2)
}
await run(loaded.value)

async function run (scenario: Scenario): Promise<void> {
  mkdirSync(options.out, { recursive: true })
  let { capacity } = options
  const reports: Partial<Record<Variant, SegmentReport>> = {}
  for (const variant of VARIANTS) {
    process.stdout.write(`${scenario.name}: ${variant}\n`)
    reports[variant] = await withFleet(scenario, variant, async (fleet) => {
      capacity ??= (await findPeak(fleet, scenario, nominalCapacity(scenario), options.seed)).perSecond
      const phases = scenario.phases.map(({ name, factor, seconds }) => ({ name, perSecond: factor * capacity!, seconds }))
      return runSegment(fleet, scenario, { phases, events: scenario.events, seed: options.seed, id: 'experiment', settleS: SETTLE_S })
    }, options.keepFolders)
  }
  writeReport(scenario, capacity!, reports.product!, reports.baseline!)
}

/** Time span in s from the first event to the end of the last, including freezes and restart delays; undefined without events. */
function triggerOf (scenario: Scenario): { fromS: number, toS: number, label: string } | undefined {
  if (scenario.events.length === 0) return undefined
  const ends = scenario.events.map((event) => event.atS + ('forS' in event ? event.forS : 'restartAfterS' in event ? event.restartAfterS ?? 0 : 0))
  return {
    fromS: Math.min(...scenario.events.map((event) => event.atS)),
    toS: Math.max(...ends),
    label: [...new Set(scenario.events.map((event) => event.kind).filter((kind) => kind !== 'heal'))].join(', ')
  }
}

function writeReport (scenario: Scenario, capacityPerSecond: number, product: SegmentReport, baseline: SegmentReport): void {
  const operations = scenario.operations.filter((op) => op.share > 0)
  const trigger = triggerOf(scenario)
  const recovery = ({ timeline }: SegmentReport) => {
    if (trigger === undefined) return undefined
    const ms = recoveryMs(timeline, [SETTLE_S * 1000, trigger.fromS * 1000], trigger.toS * 1000)
    return ms === undefined ? undefined : ms / 1000
  }
  const variants = [{ name: 'product', report: product }, { name: 'baseline', report: baseline }]
  const deepest = deepestService(scenario)
  process.stdout.write(`\n${phasesTable(variants.map(({ name, report }) => ({ name, phases: report.phases })), operations)}\n`)
  process.stdout.write(`\n${costsTable(variants.map(({ name, report }) => ({ variant: name, segment: scenario.name, report, deepest })))}\n`)
  for (const { name, report } of variants) {
    for (const record of report.events) {
      process.stdout.write(`${name}: ${record.event.kind} at ${(record.atMs / 1000).toFixed(1)} s${record.problem === undefined ? '' : ` failed: ${record.problem}`}\n`)
    }
  }
  const base = join(options.out, `experiment-${scenario.name}-${options.seed}`)
  writeSvg(`${base}.svg`, surgePlot({
    title: scenario.description === '' ? scenario.name : scenario.description,
    operations,
    bucketMs: BUCKET_MS,
    trigger,
    product: { timeline: product.timeline, recoverySeconds: recovery(product) },
    baseline: { timeline: baseline.timeline, recoverySeconds: recovery(baseline) }
  }))
  const recoveries = { recoverySeconds: recovery(product), baselineRecoverySeconds: recovery(baseline) }
  const summary = { scenario: scenario.name, seed: options.seed, capacityPerSecond, ...recoveries }
  appendJsonLine(`${base}.jsonl`, { ...summary, product, baseline })
  process.stdout.write(`${JSON.stringify({ ...summary, duplicates: product.counters.duplicates, baselineDuplicates: baseline.counters.duplicates })}\n`)
}
