import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { loadavg, tmpdir } from 'node:os'
import { join } from 'node:path'
import { Command } from 'commander'
import { startFleet } from '../fleet/fleet.js'
import { rollingFleet } from './fleet-spec.js'
import { startLoad, type RequestResult } from './load.js'
import { restartAll, type Restart } from './restarts.js'

const options = new Command('rolling')
  .description('Restarts every node and every control VM under constant load and counts lost requests and repeated claims.')
  .option('--seed <n>', 'seed for the arrivals', Number, 1)
  .option('--rate <n>', 'requests per second', Number, 25)
  .option('--rest <s>', 'seconds between the end of a restart and the start of the next; limits ramp up for 10 s', Number, 1)
  .option('--keep', 'keep the folder with settings and logs', false)
  .parse()
  .opts<{ seed: number, rate: number, rest: number, keep: boolean }>()

/** Time in which the nodes ramp up the limits of newly started targets, in ms. */
const RAMP_MS = 10_000
/** Duration of the load before the first and after the last restart, in ms. */
const MARGIN_MS = 3000

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))
const nowMs = () => performance.now()
const print = (value: object) => process.stdout.write(`${JSON.stringify(value)}\n`)

/** Number of runs of each claim, by key, according to the targets' run log. */
function claimRuns (runLog: string): Map<string, number> {
  const runs = new Map<string, number>()
  for (const key of readFileSync(runLog, 'utf8').split('\n')) if (key !== '') runs.set(key, (runs.get(key) ?? 0) + 1)
  return runs
}

/** Number of resends by refusal code, system error or kind of the preceding try. */
function resendsByReason (results: RequestResult[]): Record<string, number> {
  const reasons: Record<string, number> = {}
  for (const { tries } of results) {
    for (const { told, errorCode } of tries.slice(0, -1)) {
      const reason = told.kind === 'refused' ? told.code : errorCode ?? told.kind
      reasons[reason] = (reasons[reason] ?? 0) + 1
    }
  }
  return reasons
}

const folder = mkdtempSync(join(tmpdir(), 'orioleslip-rolling-'))
const runLog = join(folder, 'runs')
writeFileSync(runLog, '')
const fleet = await startFleet(rollingFleet(runLog))
const restarts: Restart[] = []
const failures: string[] = []
try {
  const entries = fleet.vms.map(({ vm, url }) => ({ vmId: vm.vmId, url }))
  await sleep(RAMP_MS)
  const load = startLoad({ seed: options.seed, perSecond: options.rate, entries, nowMs })
  await sleep(MARGIN_MS)
  await restartAll(fleet, options.rest * 1000, nowMs, (restart) => {
    restarts.push(restart)
    print(restart)
  }).catch((err: unknown) => failures.push(String(err)))
  await sleep(MARGIN_MS)
  const results = await load.stop()

  const lost = results.filter((result) => result.lost)
  for (const result of lost) print({ lost: result })
  const runs = claimRuns(runLog)
  const duplicates = [...runs].filter(([, count]) => count > 1)
  for (const [key, count] of duplicates) print({ duplicate: key, runs: count })
  const neverRan = results.filter(({ request, lost }) => request.operation === 'claim' && !lost && !runs.has(request.key)).length
  if (neverRan > 0) failures.push(`${neverRan} claims were reported as complete but never ran`)
  const planned = fleet.vms.length + fleet.controls.length
  if (restarts.length !== planned) failures.push(`${restarts.length} of ${planned} restarts were completed`)
  for (const { vmId, exit } of restarts) if (exit !== 0) failures.push(`${vmId} ended with ${exit}`)
  const ok = lost.length === 0 && duplicates.length === 0 && failures.length === 0 && results.length > 0
  process.exitCode = ok ? 0 : 1
  if (options.keep || !ok) process.stdout.write(`logs: ${fleet.folder}\n`)
  await fleet.stop(options.keep || !ok)
  const byOperation = (kind: string) => results.filter(({ request }) => request.operation === kind).length
  print({
    requests: results.length,
    reads: byOperation('read'),
    uploads: byOperation('upload'),
    claims: byOperation('claim'),
    lost: lost.length,
    duplicates: duplicates.length,
    restarts: restarts.length,
    exitCodes: restarts.map(({ exit }) => exit),
    drainMs: Object.fromEntries(restarts.map(({ vmId, drainMs }) => [vmId, drainMs])),
    resends: resendsByReason(results),
    failures,
    load1: loadavg()[0],
    seed: options.seed
  })
} finally {
  await fleet.stop(true)
  rmSync(folder, { recursive: true, force: true })
}
