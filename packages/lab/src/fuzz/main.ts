// Stateful fuzzing of at-most-once execution. Usage: node packages/lab/dist/fuzz/main.js --seed N --runs M [--path P --replay-path R]
import { parseArgs } from 'node:util'
import { fuzz } from './fuzz.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1000' },
    path: { type: 'string' },
    'replay-path': { type: 'string' }
  }
})
const [seed, runs] = [Number(values.seed), Number(values.runs)]
if (!Number.isSafeInteger(seed) || !Number.isSafeInteger(runs) || runs < 1) {
  console.error('--seed and --runs must be integers, and --runs at least 1')
  process.exit(2)
}
const startMs = performance.now()
const result = await fuzz({ seed, runs, path: values.path, replayPath: values['replay-path'], log: (line) => console.log(line) })
console.log(JSON.stringify({ ...result, elapsedS: Math.round((performance.now() - startMs) / 100) / 10 }))
process.exitCode = result.failed > 0 ? 1 : 0
