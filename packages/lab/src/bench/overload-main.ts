import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Command } from 'commander'
import { appendJsonLine } from '../report/json-lines.js'
import { overloadSummary } from '../report/overload-summary.js'
import { overloadTable } from '../report/overload-table.js'
import { holdsPlot } from '../report/plot-holds.js'
import { surgePlot } from '../report/plot-surge.js'
import { writeSvg } from '../report/svg.js'
import { loadScenario } from '../scenarios/scenario-file.js'
import { BUCKET_MS } from '../scenarios/segment.js'
import { runOverload, TRIGGER_S, type RunReport } from './overload.js'

const DEFAULT_SCENARIO = fileURLToPath(new URL('../../scenarios/library.toml', import.meta.url))

const program = new Command('bench-overload')
  .description('Compares goodput under overload and recovery after it with a fleet without overload control.')
  .option('--seed <n>', 'seed of the first run; each further run adds 100', Number, 1)
  .option('--runs <n>', 'number of runs', Number, 1)
  .option('--scenario <file>', 'scenario whose fleet and operations are used', DEFAULT_SCENARIO)
  .option('--out <folder>', 'folder for JSON lines and plots', 'out')
  .option('--keep-folders', 'keep the fleets\' settings and logs', false)
  .parse()
const options = program.opts<{ seed: number, runs: number, scenario: string, out: string, keepFolders: boolean }>()

const loaded = loadScenario(options.scenario)
if (loaded.isErr()) {
  process.stderr.write(`${loaded.error.message}\n`)
  process.exit(2)
}
const scenario = loaded.value
mkdirSync(options.out, { recursive: true })
const reports: RunReport[] = []
for (let run = 0; run < options.runs; run++) {
  const seed = options.seed + run * 100
  const report = await runOverload(scenario, { seed, keepFolders: options.keepFolders, log: (line) => process.stdout.write(`${line}\n`) })
  reports.push(report)
  const base = join(options.out, `overload-${scenario.name}-${seed}`)
  appendJsonLine(join(options.out, `overload-${scenario.name}.jsonl`), report)
  const operations = scenario.operations.filter((op) => op.share > 0)
  writeSvg(`${base}-surge.svg`, surgePlot({
    title: `${scenario.name}: ${report.deepest} 10 times slower under 3 times the demand`,
    operations,
    bucketMs: BUCKET_MS,
    trigger: { fromS: TRIGGER_S[0], toS: TRIGGER_S[1], label: 'trigger' },
    product: { timeline: report.product.surge.timeline, recoverySeconds: report.product.recoverySeconds },
    baseline: { timeline: report.baseline.surge.timeline, recoverySeconds: report.baseline.recoverySeconds }
  }))
  writeSvg(`${base}-holds.svg`, holdsPlot(`${scenario.name}: goodput at multiples of the peak demand`, operations, report))
  process.stdout.write(`${overloadTable(report, operations)}\n`)
}
process.stdout.write(`${JSON.stringify(overloadSummary(reports, options.seed))}\n`)
