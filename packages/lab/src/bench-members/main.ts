import { Command, InvalidArgumentError } from 'commander'
import { alternatives, fullUpdateBytes } from './compare.js'
import { fitLine } from './fit.js'
import { measureSize } from './measure.js'
import type { Measured } from './measure.js'

const FLEET = 770
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

function predict (measured: Measured[]) {
  const line = (y: (row: Measured) => number, x = (size: number) => size) =>
    fitLine(measured.map((row) => ({ x: x(row.size), y: y(row) })))
  const bytes = line((row) => row.sentBytesPerSecond + row.receivedBytesPerSecond)
  const messages = line((row) => row.sentMessagesPerSecond + row.receivedMessagesPerSecond)
  // The slope is the cost of one member; the intercept is the cost of the process that hosts them all.
  const cpu = line((row) => row.processCpuPercent)
  // Gossip multiplies the members that know a change in each round, so the time grows with the logarithm of the size.
  const change = line((row) => row.changeMaxMs, Math.log2)
  const changeBytes = line((row) => row.changeSentBytes, Math.log2)
  return {
    size: FLEET,
    bytesPerSecond: rounded(bytes.at(FLEET)),
    bytesPerSecondSlope: rounded(bytes.slope),
    messagesPerSecond: rounded(messages.at(FLEET)),
    cpuPercentPerMember: Math.round(cpu.slope * 1e4) / 1e4,
    changeMaxMs: Math.round(change.at(Math.log2(FLEET))),
    changeMsPerDoubling: Math.round(change.slope),
    changeSentBytes: Math.round(changeBytes.at(Math.log2(FLEET)))
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
const measured: Measured[] = []
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
  alternatives: alternatives(FLEET, measured.at(-1)?.meanMessageBytes ?? 0).map(({ name, perNode, perControl }) =>
    ({ name, perNode: Math.round(perNode), perControl: Math.round(perControl) }))
}))
