import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Command } from 'commander'
import { createSeededRandom } from '@orioleslip/core'
import { startFleet } from '../fleet/fleet.js'
import { allCells, type Cell } from './cells.js'
import { matrixFleet } from './fleet-spec.js'
import { runCell, type CellResult } from './run-cell.js'

const options = new Command('matrix')
  .description('Injects every fault at every step of every operation into a fleet of real processes and compares the outcomes with the targets\' run log.')
  .option('--seed <n>', 'seed for the order of the cells', Number, 1)
  .option('--only <text>', 'cells whose id contains the text', '')
  .option('--fleets <n>', 'number of fleets that run cells in parallel', Number, 3)
  .parse()
  .opts<{ seed: number, only: string, fleets: number }>()

async function runCells (queue: Cell[], worker: number, results: CellResult[]): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'orioleslip-matrix-'))
  const runLog = join(folder, 'runs')
  writeFileSync(runLog, '')
  let fleet = await startFleet(matrixFleet(runLog))
  try {
    for (let cell = queue.shift(); cell !== undefined; cell = queue.shift()) {
      const key = `${worker}-${results.length}-${cell.id}`
      const result = await runCell(fleet, cell, runLog, key).catch((err: unknown): CellResult => {
        const broken = { kind: 'broken' as const, message: String(err) }
        return { cell: cell!, first: broken, resent: broken, runsBefore: 0, runsAfter: 0, problems: [`the cell could not be run: ${String(err)}`] }
      })
      results.push(result)
      process.stdout.write(`${JSON.stringify(result)}\n`)
      if (result.problems.length === 0) continue
      // A failed cell may leave the fleet in any state, so the next cell gets a new fleet.
      await fleet.stop()
      fleet = await startFleet(matrixFleet(runLog))
    }
  } finally {
    await fleet.stop()
    rmSync(folder, { recursive: true, force: true })
  }
}

const random = createSeededRandom(options.seed)
const cells = allCells().filter((cell) => cell.id.includes(options.only))
const queue = cells.map((cell) => ({ cell, at: random.next() })).sort((a, b) => a.at - b.at).map(({ cell }) => cell)
const results: CellResult[] = []
await Promise.all(Array.from({ length: Math.min(options.fleets, queue.length) }, (_, worker) => runCells(queue, worker, results)))
const failed = results.filter((result) => result.problems.length > 0)
for (const { cell, problems } of failed) process.stdout.write(`FAIL ${cell.id}: ${problems.join('; ')}\n`)
process.stdout.write(`${JSON.stringify({ cells: results.length, failed: failed.length, seed: options.seed })}\n`)
process.exitCode = failed.length === 0 && results.length === cells.length ? 0 : 1
