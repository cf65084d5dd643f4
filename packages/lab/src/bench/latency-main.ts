import { Command } from 'commander'
import { build, type Histogram } from 'hdr-histogram-js'
import { createSeededRandom, HEADERS, listsSchema, type Random } from '@orioleslip/core'
import { Client, Pool } from 'undici'
import { readFileSync } from 'node:fs'
import { startFleet, type Fleet, type FleetSpec } from '../fleet/fleet.js'

const program = new Command('bench-latency')
  .description('Compares a direct call to a stand-in target with the same call through two nodes.')
  .option('--seed <n>', 'seed for the order of the measurements', Number, 1)
  .option('--runs <n>', 'number of runs', Number, 5)
  .option('--seconds <n>', 'time of one measurement', Number, 3)
  .option('--chains <list>', 'numbers of concurrent callers', '1,25,100')
  .parse()
const options = program.opts<{ seed: number, runs: number, seconds: number, chains: string }>()

const WARM_UP_MS = 1500
const RAMP_MS = 11_000
const CLOCK_TICKS_PER_S = 100

function latencyFleet (): FleetSpec {
  const lists = listsSchema.parse({
    customers: { bench: 'bench' },
    plans: {
      bench: { ratePerSecond: 1_000_000, burst: 1_000_000, operations: [{ service: 'echo', method: 'GET', path: '/echo', importance: 'browse', repeatable: true }] }
    }
  })
  return {
    controls: [{ vmId: 'control-a', region: 'r1', failureDomain: 'r1-a' }],
    vms: [
      { vmId: 'entry', region: 'r1', failureDomain: 'r1-a' },
      { vmId: 'echo', region: 'r1', failureDomain: 'r1-a', target: { service: 'echo', slots: 200, workMs: 0 } }
    ],
    lists
  }
}

/** CPU time of a process in ms, from /proc. */
function cpuMs (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) * 1000 / CLOCK_TICKS_PER_S
}

function rssMb (pid: number): number {
  const match = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(match?.[1] ?? 0) / 1024
}

type Route = { name: 'direct' | 'through', origin: string, path: string, headers: Record<string, string> }

/** Runs closed-loop callers for `forMs` and records the duration of each call in microseconds; throws on any status other than 200. */
async function measure (route: Route, callers: number, forMs: number): Promise<Histogram> {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
  const pool = new Pool(route.origin, { connections: callers, pipelining: 1 })
  const endMs = performance.now() + forMs
  const caller = async () => {
    while (performance.now() < endMs) {
      const startMs = performance.now()
      const res = await pool.request({ path: route.path, method: 'GET', headers: route.headers })
      await res.body.text()
      if (res.statusCode !== 200) throw new Error(`a ${route.name} call returned status ${res.statusCode} instead of 200`)
      histogram.recordValue(Math.max(1, Math.round((performance.now() - startMs) * 1000)))
    }
  }
  await Promise.all(Array.from({ length: callers }, caller))
  await pool.close()
  return histogram
}

type Sample = { callers: number, route: Route['name'], p50Ms: number, p99Ms: number, callsPerSecond: number, nodeCpuMsPerCall: number }

async function takeSample (fleet: Fleet, route: Route, callers: number): Promise<Sample> {
  const pids = fleet.vms.map((vm) => vm.node.pid)
  const cpu = () => pids.reduce((sum, pid) => sum + cpuMs(pid), 0)
  const cpuBefore = cpu()
  const histogram = await measure(route, callers, options.seconds * 1000)
  return {
    callers,
    route: route.name,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000,
    callsPerSecond: histogram.totalCount / options.seconds,
    nodeCpuMsPerCall: (cpu() - cpuBefore) / histogram.totalCount / pids.length
  }
}

function shuffled<T> (items: T[], random: Random): T[] {
  return items.map((item) => ({ item, at: random.next() })).sort((a, b) => a.at - b.at).map(({ item }) => item)
}

function median (values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

async function checkReachable (origin: string): Promise<void> {
  const client = new Client(origin)
  await client.request({ path: '/_counts', method: 'GET' }).then((res) => res.body.dump())
  await client.close()
}

const fleet = await startFleet(latencyFleet())
try {
  const target = fleet.vms[1]!
  const direct: Route = { name: 'direct', origin: `http://127.0.0.1:${target.vm.targetPort}`, path: '/echo', headers: { [HEADERS.customer]: 'bench' } }
  const through: Route = { name: 'through', origin: fleet.vms[0]!.url, path: '/echo/echo', headers: { [HEADERS.customer]: 'bench' } }
  await checkReachable(direct.origin)
  const callerCounts = options.chains.split(',').map(Number)
  // Nodes raise the limit of a new target during a ramp of 10 s; more callers than one would be refused before its end.
  await measure(through, 1, RAMP_MS)
  for (const route of [direct, through]) await measure(route, Math.max(...callerCounts), WARM_UP_MS)
  const random = createSeededRandom(options.seed)
  const samples: Sample[] = []
  for (let run = 0; run < options.runs; run++) {
    for (const callers of callerCounts) {
      for (const route of shuffled([direct, through], random)) samples.push(await takeSample(fleet, route, callers))
    }
  }
  const rows = callerCounts.map((callers) => {
    const pick = (route: Route['name'], field: 'p50Ms' | 'p99Ms' | 'callsPerSecond' | 'nodeCpuMsPerCall') =>
      median(samples.filter((s) => s.callers === callers && s.route === route).map((s) => s[field]))
    const throughP99s = samples.filter((s) => s.callers === callers && s.route === 'through').map((s) => s.p99Ms)
    return {
      callers,
      directP50Ms: pick('direct', 'p50Ms'),
      directP99Ms: pick('direct', 'p99Ms'),
      throughP50Ms: pick('through', 'p50Ms'),
      throughP99Ms: pick('through', 'p99Ms'),
      addedP50Ms: round(pick('through', 'p50Ms') - pick('direct', 'p50Ms')),
      addedP99Ms: round(pick('through', 'p99Ms') - pick('direct', 'p99Ms')),
      throughP99Range: [Math.min(...throughP99s), Math.max(...throughP99s)],
      callsPerSecond: Math.round(pick('through', 'callsPerSecond')),
      nodeCpuMsPerCall: round(pick('through', 'nodeCpuMsPerCall'))
    }
  })
  console.table(rows)
  const first = rows[0]!
  console.log(JSON.stringify({
    directP99Ms: first.directP99Ms,
    throughP99Ms: first.throughP99Ms,
    addedP99Ms: first.addedP99Ms,
    addedP50Ms: first.addedP50Ms,
    targetAddedP99Ms: 0.62,
    runs: options.runs,
    seed: options.seed,
    nodeRssMb: fleet.vms.map((vm) => Math.round(rssMb(vm.node.pid))),
    rows
  }))
} finally {
  await fleet.stop()
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
