// Prints how the limit adapts to wrong announcements, slow targets and mixed operations.
// Usage: node packages/lab/dist/trials/limits-main.js [SEED]
import { runLimitTrial } from './limit-trial.js'

const SEED = Number(process.argv[2] ?? 1)
const QUICK = [{ workMs: 20, share: 1 }]
const MIXED = [{ workMs: 2, share: 0.6 }, { workMs: 20, share: 0.3 }, { workMs: 400, share: 0.1 }]
const SPECS = [
  { name: 'announced right', slots: 55, announced: 55, connections: 430, ops: QUICK, slowness: 1 },
  { name: 'announced half', slots: 55, announced: 28, connections: 430, ops: QUICK, slowness: 1 },
  { name: 'announced double', slots: 55, announced: 110, connections: 430, ops: QUICK, slowness: 1 },
  { name: '10x slower at 30 s', slots: 55, announced: 55, connections: 430, ops: QUICK, slowness: 10 },
  { name: '10x slower, double', slots: 55, announced: 110, connections: 430, ops: QUICK, slowness: 10 },
  { name: 'mixed operations', slots: 55, announced: 110, connections: 430, ops: MIXED, slowness: 1 },
  { name: 'mixed, half', slots: 55, announced: 28, connections: 430, ops: MIXED, slowness: 1 },
  { name: 'few slots, double', slots: 11, announced: 22, connections: 170, ops: QUICK, slowness: 1 },
  { name: 'few slots, half', slots: 11, announced: 6, connections: 170, ops: QUICK, slowness: 10 },
  { name: 'sheds at its slots', slots: 30, announced: 55, connections: 30, ops: QUICK, slowness: 1 }
]

for (const spec of SPECS) {
  const { limits, utilization, shed } = await runLimitTrial({ ...spec, seed: SEED })
  const percent = utilization.map((share) => `${(100 * share).toFixed(0)}%`).join(' ')
  console.log(`${spec.name.padEnd(20)} slots ${spec.slots}  limit ${limits.join(' ')}  slots in use ${percent}  shed ${shed.toFixed(0)}`)
}
