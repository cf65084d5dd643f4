import { createSeededRandom } from '@orioleslip/core'
import { createFakeDisk, type FakeDisk } from '../../storage/testing/fake-disk.js'
import { createReplicatedLog, type ControlLog, type ReplicatedLogOptions } from '../replicated-log.js'
import type { ReplicationSettings } from '../settings.js'
import { createFakeNetwork } from './network.js'
import { createRecorder, type Recorder } from './recorder.js'
import { createProcessClock, type ProcessClock } from './process-clock.js'
import { createSimulatedClock } from './simulated-clock.js'

/** A simulated control VM; its disk outlives its processes. */
export type FakeVm = {
  vmId: string
  disk: FakeDisk
  log: ControlLog<string, number> | undefined
  machine: Recorder
  process: { isDead: boolean, isFrozen: boolean, clock: ProcessClock }
  /** Runs before each operation on the disk; may delay it or kill the process. */
  onDiskOperation: (() => Promise<void> | void) | undefined
  /** Why the last start failed. */
  startError: string | undefined
}

/** Several VMs on one simulated clock and network; violations of the log's invariants are collected while time advances. */
export type Cluster = ReturnType<typeof createCluster>

/** The VMs know only the seeds and the members of their log, and any VM may join up to `voters`. */
export type OpenMembership = { seeds: string[], voters: number }

/** Creates VMs `c1`, `c2` and so on, all stopped. */
export function createCluster (size: number, seed: number, settings: Partial<ReplicationSettings> = {}, open?: OpenMembership) {
  const clock = createSimulatedClock()
  const random = createSeededRandom(seed)
  const vmIds = Array.from({ length: size }, (_, i) => `c${i + 1}`)
  const network = createFakeNetwork(clock, random, vmIds)
  const violations: string[] = []
  const leaders = new Map<number, string>()
  let storageIds = 0
  const vms = vmIds.map<FakeVm>((vmId) => ({
    vmId,
    disk: createFakeDisk(),
    log: undefined,
    machine: createRecorder(),
    process: { isDead: true, isFrozen: false, clock: createProcessClock(clock) },
    onDiskOperation: undefined,
    startError: undefined
  }))
  const vm = (vmId: string) => vms.find((other) => other.vmId === vmId)!

  async function start (vmId: string) {
    const fakeVm = vm(vmId)
    const process = { isDead: false, isFrozen: false, clock: createProcessClock(clock) }
    // A dead process never resumes, a frozen one resumes later.
    const pauseIfStopped = async () => {
      if (process.isDead) await new Promise<never>(() => {})
      while (process.isFrozen) await clock.sleep(1)
    }
    const transport = network.transportOf(vmId)
    const opening = createReplicatedLog({
      group: 'lists',
      vmId,
      ...membershipOf(open, vmIds),
      dir: '/data',
      machine: fakeVm.machine = createRecorder(),
      transport: {
        send: async (to, message) => {
          await pauseIfStopped()
          const reply = await transport.send(to, message)
          await pauseIfStopped()
          return reply
        }
      },
      logger: {
        info: (fields, message) => { if (message === 'this replica leads') recordLeader(vmId, (fields as { term: number }).term) },
        warn: () => {},
        error: (fields) => { if ('err' in fields) violations.push(`${vmId}: ${String(fields.err)}`) }
      },
      settings,
      fileSystem: fakeVm.disk.mount(async () => {
        await fakeVm.onDiskOperation?.()
        await pauseIfStopped()
      }),
      clock: {
        ...process.clock,
        sleep: async (ms, signal) => {
          await process.clock.sleep(ms, signal)
          await pauseIfStopped()
        }
      },
      random,
      newStorageId: () => `${vmId}-disk${++storageIds}`
    })
    fakeVm.process = process
    fakeVm.log = undefined
    // The start of a damaged replica waits for a leader, and its process may be killed meanwhile.
    const opened = await waitFor(opening, () => process.isDead)
    if (opened === undefined) return
    fakeVm.startError = opened.match(() => undefined, ({ message }) => message)
    if (opened.isErr()) return
    fakeVm.log = opened.value
    network.setHandler(vmId, async (message) => {
      await pauseIfStopped()
      const reply = await opened.value.handle(message)
      await pauseIfStopped()
      return reply
    })
  }

  function recordLeader (vmId: string, term: number) {
    const other = leaders.get(term) ?? vmId
    if (other !== vmId) violations.push(`${other} and ${vmId} lead in term ${term}`)
    leaders.set(term, vmId)
  }

  function checkInvariants () {
    const leaseHolders = vms.filter(({ log, process }) => log !== undefined && !process.isDead && log.status().leaseMs > 0)
    if (leaseHolders.length > 1) violations.push(`${leaseHolders.map(({ vmId }) => vmId).join(' and ')} hold a lease at ${clock.nowMs()}`)
    const sequences = vms.filter(({ log }) => log !== undefined).map(({ machine }) => machine.applied).sort((a, b) => a.length - b.length)
    const longest = sequences.at(-1) ?? []
    for (const sequence of sequences) {
      const position = sequence.findIndex((cmd, i) => cmd !== longest[i])
      if (position !== -1) violations.push(`position ${position} holds ${sequence[position]} and ${longest[position]}`)
    }
  }

  async function advance (ms: number) {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
      await clock.advance(Math.min(10, ms - elapsedMs))
      checkInvariants()
    }
  }

  /** Waits for a promise while simulated time advances. */
  async function waitFor<T> (promise: PromiseLike<T>): Promise<T>
  async function waitFor<T> (promise: PromiseLike<T>, isAborted: () => boolean): Promise<T | undefined>
  async function waitFor<T> (promise: PromiseLike<T>, isAborted = () => false): Promise<T | undefined> {
    const state = { isDone: false }
    const done = Promise.resolve(promise).finally(() => { state.isDone = true })
    await waitUntil(() => state.isDone || isAborted(), 'a result', 30_000)
    return state.isDone ? await done : undefined
  }

  async function waitUntil (condition: () => boolean, description: string, ms = 15_000) {
    for (let elapsedMs = 0; !condition(); elapsedMs += 10) {
      if (elapsedMs >= ms) throw new Error(`not within ${ms} ms: ${description}`)
      await advance(10)
    }
  }

  /** Kills the process. Unsynced writes are lost, or with `isTorn` partly lost. */
  function kill (vmId: string, isTorn = false) {
    const fakeVm = vm(vmId)
    fakeVm.process.isDead = true
    fakeVm.log = undefined
    network.setHandler(vmId, undefined)
    fakeVm.disk.crash(isTorn ? random : undefined)
  }

  /** Freezes the process and stops its monotonic clock, as when its VM is suspended. */
  function suspend (vmId: string) {
    const { process } = vm(vmId)
    process.isFrozen = true
    process.clock.stop()
  }

  /** Ends a freeze or a suspension. */
  function resume (vmId: string) {
    const { process } = vm(vmId)
    process.isFrozen = false
    process.clock.resume()
  }

  const leader = () => vms.find(({ log, process }) => !process.isDead && !process.isFrozen && (log?.status().leaseMs ?? 0) > 0)
  const isSettled = () => {
    const voters = leader()?.log?.status().members.filter(({ voter }) => voter) ?? []
    return voters.length === size && vms.every(({ log }) => log?.status().role === 'leader' || log?.status().role === 'follower')
  }

  return {
    clock,
    random,
    network,
    violations,
    vms,
    vm,
    start,
    kill,
    suspend,
    resume,
    advance,
    waitFor,
    waitUntil,
    leader,
    /** Starts all VMs, creates the group and waits for a leader. */
    boot: async () => {
      for (const { vmId } of vms) await start(vmId)
      await advance(700)
      const created = await waitFor(vms[0]!.log!.init())
      if (created.isErr()) throw new Error(created.error.message)
      await waitUntil(() => leader() !== undefined, 'a leader')
      return leader()!
    },
    propose: (vmId: string, cmd: string) => waitFor(vm(vmId).log!.propose(cmd)),
    /** Waits until every VM is a voter again and has applied the same commands. */
    converge: async () => {
      await waitUntil(isSettled, 'all VMs are voters', 30_000)
      await waitUntil(() => vms.every(({ machine }) => machine.applied.length === leader()?.machine.applied.length), 'equal logs')
    }
  }
}

function membershipOf (open: OpenMembership | undefined, vmIds: string[]): Pick<ReplicatedLogOptions<string, number, unknown>, 'peers' | 'membership'> {
  const peersOf = (ids: string[]) => ids.map((id) => ({ vmId: id, address: `${id}:1` }))
  if (open === undefined) return { peers: peersOf(vmIds) }
  return { peers: (memberIds) => peersOf([...new Set([...open.seeds, ...memberIds])]), membership: { kind: 'open', voters: open.voters } }
}
