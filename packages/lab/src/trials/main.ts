// Prints goodput and recovery of a call chain under overload, with and without overload control.
// Usage: node packages/lab/dist/trials/main.js [SEED]
import { DEEPEST_CAPACITY, runChainTrial } from './chain-trial.js'
import type { ChainReport, ChainSpec, ClassName } from './chain-trial.js'

const CLASSES: ClassName[] = ['claim', 'upload', 'lookup', 'browse']
const SEED = Number(process.argv[2] ?? 1)
const SPECS = [
  { name: 'demand 1x', demand: 1, slowness: 1, resends: 0 },
  { name: 'demand 2x', demand: 2, slowness: 1, resends: 3 },
  { name: 'demand 5x', demand: 5, slowness: 1, resends: 3 },
  { name: 'demand 10x', demand: 10, slowness: 1, resends: 3 },
  { name: 'deep 10x slower', demand: 1, slowness: 10, resends: 3 },
  { name: 'deep 10x slower, 3x', demand: 3, slowness: 10, resends: 3 }
]

function format (spec: ChainSpec, report: ChainReport): string {
  // Every class but lookups uses the deepest service, whose capacity limits their sum.
  const deep = report.goodput.claim + report.goodput.upload + report.goodput.browse
  const cells = CLASSES.map((name) => `${name} ${report.goodput[name].toFixed(0)}/${report.offered[name].toFixed(0)}`.padEnd(17))
  const recovery = report.recoveryMs === undefined ? 'none' : `${(report.recoveryMs / 1000).toFixed(2)} s`
  return `${spec.name.padEnd(20)} ${spec.control ? 'on ' : 'off'}  ${cells.join(' ')} deep ${(100 * deep / (DEEPEST_CAPACITY / spec.slowness)).toFixed(0)}% of peak`
    .padEnd(125) + ` recovery ${recovery}`
}

for (const spec of SPECS) {
  for (const control of [true, false]) {
    const full = { ...spec, control, seed: SEED }
    console.log(format(full, await runChainTrial(full)))
  }
}
