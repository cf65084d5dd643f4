import { Command } from 'commander'
import { createSeededRandom } from '@orioleslip/core'
import { runSize, type SizeReport } from './run-size.js'
import { fitRows, toRow } from './summary.js'

const MAX_NODES = 64

const program = new Command('bench-plans')
  .description('Measures edits of the lists on fleets of real processes: time to effect, control traffic, CPU, memory and recovery.')
  .option('--sizes <list>', `numbers of nodes, at most ${MAX_NODES} each`, '8,24,64')
  .option('--seed <n>', 'seed of the edits', Number, 1)
  .option('--customers <n>', 'customers in the lists', Number, 500)
  .option('--edits <n>', 'edits of each of the two edit phases', Number, 20)
  .option('--edit-interval-ms <n>', 'time between two edits', Number, 1000)
  .option('--poll-ms <n>', 'time between two readings of one node\'s revision', Number, 100)
  .option('--settle-seconds <n>', 'wait after the start', Number, 15)
  .option('--idle-seconds <n>', 'time of the idle measurement', Number, 20)
  .option('--pollers <n>', 'connections that poll the control VMs as nodes do, beside the nodes', Number, 0)
  .option('--extra-members <n>', 'members that only gossip, beside the nodes', Number, 0)
  .option('--key-clients <n>', 'clients of the key register', Number, 0)
  .option('--keys-per-second <n>', 'keys that all of them claim and finish per second', Number, 100)
  .option('--verbose', 'print the reports with all channels', false)
  .parse()
const options = program.opts<{
  sizes: string,
  seed: number,
  customers: number,
  edits: number,
  editIntervalMs: number,
  pollMs: number
  settleSeconds: number,
  idleSeconds: number,
  pollers: number,
  extraMembers: number,
  keyClients: number,
  keysPerSecond: number,
  verbose: boolean
}>()

const sizes = options.sizes.split(',').map(Number)
if (sizes.some((size) => !Number.isInteger(size) || size < 1 || size > MAX_NODES)) {
  program.error(`--sizes: use numbers from 1 to ${MAX_NODES}, separated by commas`, { exitCode: 2 })
}

const log = (line: string) => process.stdout.write(`${line}\n`)
const reports: SizeReport[] = []
for (const nodes of sizes) {
  reports.push(await runSize({ ...options, nodes, random: createSeededRandom(options.seed + nodes), log }))
  if (options.verbose) log(JSON.stringify(reports.at(-1)))
}
const rows = reports.map(toRow)
const names = Object.keys(rows[0]!)
console.table(Object.fromEntries(names.map((name) => [name, Object.fromEntries(rows.map((row) => [String(row['nodes']), row[name]]))])))
const largest = rows.at(-1)!
log(JSON.stringify({
  nodes: largest['nodes'],
  inForceP99Seconds: Math.max(...rows.map((row) => row['inForceP99Seconds']!)),
  controlBytesPerNodePerSecond: largest['nodeBytesPerSecond'],
  controlCpuPercent: largest['controlCpuPercent'],
  nodeCpuPercent: largest['nodeCpuPercent'],
  rssMb: largest['nodeRssMb'],
  reverted: rows.reduce((sum, row) => sum + row['reverted']!, 0),
  missing: rows.reduce((sum, row) => sum + row['inForceMissing']!, 0),
  seed: options.seed,
  customers: options.customers,
  pollers: reports.at(-1)!.pollers,
  keys: reports.at(-1)!.keys,
  extraMembers: options.extraMembers,
  aliveMembers: reports.at(-1)!.aliveMembers,
  slopes: fitRows(rows),
  rows
}))
