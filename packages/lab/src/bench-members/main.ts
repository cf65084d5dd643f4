import { Command, InvalidArgumentError } from 'commander'
import { estimateAlternatives, fullUpdateBytes } from './alternatives.js'
import { fitLine } from './linear-fit.js'
import { measureSize } from './measure.js'
import type { SizeMeasurement } from './measure.js'

const DESIGN_FLEET_SIZE = 770
const MAX_SIZE = 200

function parseSizes (text: string): number[] {
  const sizes = text.split(',').map(Number)
  if (sizes.some((size) => !Number.isInteger(size) || size < 4 || size > MAX_SIZE)) {
    throw new InvalidArgumentError(`give whole numbers from 4 to ${MAX_SIZE}, separated by commas`)
  }
  return sizes
}

function parseWhole (text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('give a whole number')
  return value
}

const rounded = (value: number) => Math.round(value * 100) / 100

function predict (measured: SizeMeasurement[]) {
  const fitOver = (y: (row: SizeMeasurement) => number, x = (size: number) => size) =>
    fitLine(measured.map((row) => ({ x: x(row.size), y: y(row) })))
  const bytes = fitOver((row) => row.sentBytesPerSecond + row.receivedBytesPerSecond)
  const messages = fitOver((row) => row.sentMessagesPerSecond + row.receivedMessagesPerSecond)
  // The slope is the cost of one member; the intercept is the fixed cost of the process that runs all members.
  const cpu = fitOver((row) => row.processCpuPercent)
  // The number of members that have received a change multiplies with each gossip round, so the time grows with the logarithm of the size.
  const changeTime = fitOver((row) => row.changeMaxMs, Math.log2)
  const changeBytes = fitOver((row) => row.changeSentBytes, Math.log2)
  return {
    size: DESIGN_FLEET_SIZE,
    bytesPerSecond: rounded(bytes.at(DESIGN_FLEET_SIZE)),
    bytesPerSecondSlope: rounded(bytes.slope),
    messagesPerSecond: rounded(messages.at(DESIGN_FLEET_SIZE)),
    cpuPercentPerMember: Math.round(cpu.slope * 1e4) / 1e4,
    changeMaxMs: Math.round(changeTime.at(Math.log2(DESIGN_FLEET_SIZE))),
    changeMsPerDoubling: Math.round(changeTime.slope),
    changeSentBytes: Math.round(changeBytes.at(Math.log2(DESIGN_FLEET_SIZE)))
  }
}

const program = new Command('bench-members')
  .description('Measures membership over loopback UDP with many members in one process')
  .option('--sizes <list>', 'fleet sizes', parseSizes, [16, 64, 128, 200])
  .option('--seconds <s>', 'length of the idle measurement per size', parseWhole, 20)
  .option('--seed <n>', 'seed of the random choices', parseWhole, 1)
  .option('--base-port <port>', 'first of the UDP ports', parseWhole, 42_000)
  .parse()

const { sizes, seconds, seed, basePort } = program.opts<{ sizes: number[], seconds: number, seed: number, basePort: number }>()
const measured: SizeMeasurement[] = []
for (const size of sizes) {
  const row = await measureSize(size, basePort, seconds, seed)
  measured.push(row)
  const parts = Object.entries(row).map(([name, value]) => `${name} ${rounded(value)}`)
  console.log(parts.join(', '))
}
console.log(JSON.stringify({
  seed,
  seconds,
  measured: measured.map((row) => Object.fromEntries(Object.entries(row).map(([name, value]) => [name, rounded(value)]))),
  predicted: predict(measured),
  fullUpdateBytes: fullUpdateBytes(),
  alternatives: estimateAlternatives(DESIGN_FLEET_SIZE, measured.at(-1)?.meanMessageBytes ?? 0).map(({ name, perNode, perControl }) =>
    ({ name, perNode: Math.round(perNode), perControl: Math.round(perControl) }))
}))
