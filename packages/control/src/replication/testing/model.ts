import fc from 'fast-check'
import { createCluster, type Cluster } from './cluster.js'

type Call = { cmd: string, calledMs: number, settledMs: number, result: 'ok' | 'notLeader' | 'refused' | 'outcomeUnknown' | 'none' }
/** `isRepaired`: no disk was lost since the group was last complete, so one may be lost now. */
type Model = { isRepaired: boolean }
type Real = { cluster: Cluster, calls: Call[] }
type Command = fc.AsyncCommand<Model, Real>

type Run = (real: Real, model: Model) => Promise<void> | void

function command (name: string, run: Run, isAllowed: (model: Model) => boolean = () => true): Command {
  return {
    check: isAllowed,
    toString: () => name,
    run: async (model, real) => {
      await run(real, model)
      await real.cluster.advance(10)
    }
  }
}

const runningLog = ({ cluster }: Real, vmId: string) => {
  const { log, process } = cluster.vm(vmId)
  return process.isDead || process.isFrozen ? undefined : log
}

const propose = (vmId: string) => command(`propose ${vmId}`, (real) => {
  const { cluster, calls } = real
  const log = runningLog(real, vmId)
  if (log === undefined) return
  const call: Call = { cmd: `entry ${calls.length}`, calledMs: cluster.clock.nowMs(), settledMs: Infinity, result: 'none' }
  calls.push(call)
  const { process } = cluster.vm(vmId)
  log.propose(call.cmd).match(() => 'ok' as const, ({ kind }) => kind).then((result) => {
    // A process that has died returns no result to its caller.
    if (!process.isDead) Object.assign(call, { result, settledMs: cluster.clock.nowMs() })
  }, () => {})
})

const read = (vmId: string, confirm: 'confirmCurrent' | 'confirmLeased') => command(`${confirm} ${vmId}`, (real) => {
  const { cluster, calls } = real
  const log = runningLog(real, vmId)
  if (log === undefined) return
  const accepted = calls.filter(({ result }) => result === 'ok').map(({ cmd }) => cmd)
  const { machine, process } = cluster.vm(vmId)
  log[confirm]().match(() => {
    const missing = accepted.find((cmd) => !machine.applied.includes(cmd))
    if (missing !== undefined && !process.isDead) cluster.violations.push(`${vmId} confirmed a current read without ${missing}`)
  }, () => {}).catch(() => {})
})

const restart = (vmId: string) => command(`restart ${vmId}`, async ({ cluster }) => {
  cluster.kill(vmId, true)
  await cluster.start(vmId)
})

const loseDisk = (vmId: string) => command(`lose disk of ${vmId}`, async ({ cluster }, model) => {
  model.isRepaired = false
  cluster.kill(vmId)
  cluster.vm(vmId).disk.erase()
  await cluster.start(vmId)
}, ({ isRepaired }) => isRepaired)

const damageDisk = (vmId: string) => command(`damage disk of ${vmId}`, async ({ cluster }, model) => {
  model.isRepaired = false
  cluster.kill(vmId)
  const { disk } = cluster.vm(vmId)
  const segment = disk.paths().find((path) => /^\/data\/\d+\.seg$/.test(path)) ?? '/data/hard-state.json'
  disk.corrupt(segment, (data) => data.fill(0xff, 0, 4))
  await cluster.start(vmId)
}, ({ isRepaired }) => isRepaired)

/** Ends all faults, waits until the group is complete, and checks the applied commands against the results that callers received. */
async function healAndVerify ({ cluster, calls }: Real) {
  cluster.network.heal()
  cluster.network.loss = 0
  for (const vm of cluster.vms) {
    cluster.resume(vm.vmId)
    vm.onDiskOperation = undefined
  }
  // A damaged replica starts only once the others have a leader, so its start may have to be repeated.
  for (let i = 0; i < 2; i++) for (const { vmId, log } of cluster.vms) if (log === undefined) await cluster.start(vmId)
  await cluster.converge()
  await cluster.advance(4000)
  const { applied } = cluster.leader()!.machine
  const positions = new Map(applied.map((cmd, i) => [cmd, i]))
  const fail = (violation: string) => cluster.violations.push(violation)
  if (positions.size !== applied.length) fail('a command was applied twice')
  const accepted = calls.filter(({ result }) => result === 'ok')
  for (const { cmd } of accepted) if (!positions.has(cmd)) fail(`${cmd} was accepted and is lost`)
  for (const { cmd, result } of calls) if ((result === 'notLeader' || result === 'refused') && positions.has(cmd)) fail(`${cmd} was ${result} and applied`)
  for (const a of accepted) {
    const late = accepted.find((b) => a.settledMs < b.calledMs && positions.get(a.cmd)! > positions.get(b.cmd)!)
    if (late !== undefined) fail(`${a.cmd} was accepted before ${late.cmd} was proposed, and comes after it`)
  }
}

/** Ends freezes, slow disks and network cuts and restarts stopped VMs, without waiting for the group. */
async function restartStopped ({ cluster }: Real) {
  cluster.network.heal()
  for (const vm of cluster.vms) {
    cluster.resume(vm.vmId)
    vm.onDiskOperation = undefined
  }
  for (const { vmId, log } of cluster.vms) if (log === undefined) await cluster.start(vmId)
}

const repeat = (n: number, arbitrary: fc.Arbitrary<Command>) => Array.from({ length: n }, () => arbitrary)

/** Faults are rare enough that the group is available in between; their order also gives several faults at once. */
function commandsFor (size: number) {
  const vmId = fc.integer({ min: 1, max: size }).map((n) => `c${n}`)
  const onVm = (name: string, run: (cluster: Cluster, id: string) => void) => vmId.map((id) => command(`${name} ${id}`, ({ cluster }) => run(cluster, id)))
  return [
    ...repeat(8, vmId.map(propose)),
    ...repeat(3, vmId.map((id) => read(id, 'confirmCurrent'))),
    ...repeat(3, vmId.map((id) => read(id, 'confirmLeased'))),
    ...repeat(2, vmId.map(restart)),
    vmId.map(loseDisk),
    vmId.map(damageDisk),
    onVm('kill', (cluster, id) => cluster.kill(id, true)),
    ...repeat(2, onVm('isolate', (cluster, id) => cluster.network.isolate(id))),
    ...repeat(3, fc.tuple(vmId, vmId).map(([a, b]) => command(`cut ${a} to ${b}`, ({ cluster }) => cluster.network.cut(a, b)))),
    onVm('slow down the disk of', (cluster, id) => { cluster.vm(id).onDiskOperation = () => cluster.clock.sleep(400) }),
    onVm('freeze', (cluster, id) => { cluster.vm(id).process.isFrozen = true }),
    onVm('suspend', (cluster, id) => cluster.suspend(id)),
    onVm('resume', (cluster, id) => cluster.resume(id)),
    fc.constantFrom(0, 0, 0.1, 0.3).map((loss) => command(`lose ${loss} of the messages`, ({ cluster }) => { cluster.network.loss = loss })),
    ...repeat(3, fc.constant(command('heal the network', ({ cluster }) => cluster.network.heal()))),
    ...repeat(3, fc.constant(command('restart stopped VMs', restartStopped))),
    ...[50, 200, 500, 1300, 1300, 2500].map((ms) => fc.constant(command(`wait ${ms} ms`, ({ cluster }) => cluster.advance(ms)))),
    fc.constant(command('heal everything', async (real, model) => {
      await healAndVerify(real)
      model.isRepaired = true
    }))
  ]
}

/** Small enough that snapshots, segment changes and messages with a single entry occur in each run. */
const settings = { snapshotEntries: 12, trailingEntries: 3, segmentBytes: 500, chunkBytes: 200, batchBytes: 50 }

/** Runs random sequences of proposals, reads and faults; rejects with the shortest failing sequence and its seed. */
export async function checkRandomFaults (size: number, seed: number, numRuns: number) {
  const sequences = fc.commands(commandsFor(size), { maxCommands: 100, size: 'max' })
  await fc.assert(fc.asyncProperty(sequences, fc.integer(), async (cmds, networkSeed) => {
    const cluster = createCluster(size, networkSeed, settings)
    cluster.network.jitter = 3
    cluster.network.duplicates = 0.1
    await cluster.boot()
    const real: Real = { cluster, calls: [] }
    await fc.asyncModelRun(() => ({ model: { isRepaired: true }, real }), cmds)
    await healAndVerify(real)
    if (cluster.violations.length > 0) throw new Error(cluster.violations.slice(0, 5).join('; '))
  }), { seed, numRuns, includeErrorInReport: true })
}
