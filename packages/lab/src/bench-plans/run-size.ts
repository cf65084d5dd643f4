import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { systemClock, type Random } from '@orioleslip/core'
import { startFleet, waitUntil, type Fleet, type FleetSpec } from '../fleet/fleet.js'
import { benchLists, createEditor, type AcceptedEdit } from './editor.js'
import { startExtraMembers } from './extra-members.js'
import { round } from './statistics.js'
import { startKeyClients, type KeyLoadReport } from './key-clients.js'
import { measureUsage, nodeMemory, type FleetUsage } from './usage.js'
import { startPollers } from './pollers.js'
import { measureRecovery, type Recovery } from './recovery.js'
import { timeToEffect, loggedRevisions, readNodeState, watchRevisions, type TimeToEffect } from './revisions.js'

/** Options of the measurement of one fleet size. */
export type SizeOptions = {
  nodes: number
  customers: number
  settleSeconds: number
  idleSeconds: number
  edits: number
  editIntervalMs: number
  pollMs: number
  /** Additional connections that poll the control VMs as nodes do; 0 for none. */
  pollers: number
  /** Additional members that only gossip; 0 for none. */
  extraMembers: number
  /** Clients of the key register, 0 for none, and the keys that all of them together claim per second. */
  keyClients: number
  keysPerSecond: number
  random: Random
  log: (line: string) => void
}

/** Results of one fleet size. */
export type SizeReport = {
  nodes: number
  startSeconds: number
  /** From readings of each node's state, every `pollMs`. */
  inForce: TimeToEffect
  /** From the nodes' logs, while nothing read their state. */
  inForceLogged: TimeToEffect
  reverted: number
  readings: number
  acceptP50Ms: number
  idle: FleetUsage
  edits: FleetUsage
  editCount: number
  /** Memory of the nodes after the second edit phase, during which their state was read. */
  memoryAfter: ReturnType<typeof nodeMemory>
  recovery: Recovery
  pollers?: TimeToEffect & { failures: number }
  keys?: KeyLoadReport
  /** Members that each node saw as alive before the idle measurement and after the edits; with extra members only. */
  aliveMembers?: { before: number[], after: number[] }
}

const DOMAINS = [['r1', 'r1-a'], ['r1', 'r1-b'], ['r1', 'r1-c'], ['r2', 'r2-a'], ['r2', 'r2-b']] as const
const CONTROL_DOMAINS = [DOMAINS[0], DOMAINS[1], DOMAINS[3]]
const IN_EFFECT_TIMEOUT_MS = 20_000

function fleetSpec (nodes: number, customers: number): FleetSpec {
  return {
    controls: CONTROL_DOMAINS.map(([region, failureDomain]) => ({ vmId: `control-${failureDomain}`, region, failureDomain })),
    vms: Array.from({ length: nodes }, (_, i) => {
      const [region, failureDomain] = DOMAINS[i % DOMAINS.length]!
      return { vmId: `node-${i}`, region, failureDomain }
    }),
    lists: benchLists(customers)
  }
}

async function waitForRevision (fleet: Fleet, revision: number): Promise<void> {
  // A node that doesn't reach the revision is counted as missing in the report; it must not abort the measurement.
  await waitUntil(`revision ${revision} is in effect`, async () => {
    const states = await Promise.all(fleet.vms.map(readNodeState))
    return states.every((state) => state !== undefined && state.revision >= revision)
  }, IN_EFFECT_TIMEOUT_MS).catch(() => {})
}

async function countAliveMembers (fleet: Fleet): Promise<number[]> {
  return Promise.all(fleet.vms.map(async (vm) => (await vm.members()).filter((member) => member.liveness === 'alive').length))
}

/** Starts a fleet of one size and measures it idle, with edits, and through the loss of its control VMs. */
export async function runSize (options: SizeOptions): Promise<SizeReport> {
  const { nodes, customers, random, log } = options
  const counterFolder = mkdtempSync(join(tmpdir(), 'orioleslip-counters-'))
  process.env['ORIOLESLIP_COUNTER_FOLDER'] = counterFolder
  process.env['NODE_OPTIONS'] = `--import ${new URL('./socket-counter.js', import.meta.url).href}`
  const startMs = performance.now()
  const spec = fleetSpec(nodes, customers)
  const fleet = await startFleet(spec)
  const startSeconds = round((performance.now() - startMs) / 1000)
  log(`${nodes} nodes started in ${startSeconds.toFixed(1)} s`)
  const editor = await createEditor(fleet, spec.lists, random)
  const makeEdits = async (count: number): Promise<AcceptedEdit[]> => {
    const accepted: AcceptedEdit[] = []
    for (let i = 0; i < count; i++) {
      const nextMs = performance.now() + options.editIntervalMs
      accepted.push(await editor.edit())
      await systemClock.sleep(Math.max(0, nextMs - performance.now()))
    }
    return accepted
  }
  let extraMembers: Awaited<ReturnType<typeof startExtraMembers>> | undefined
  try {
    const pollers = options.pollers === 0 ? undefined : await startPollers(fleet, options.pollers, random)
    extraMembers = options.extraMembers === 0 ? undefined : await startExtraMembers(fleet, options.extraMembers)
    await systemClock.sleep(options.settleSeconds * 1000)
    const aliveBefore = options.extraMembers === 0 ? undefined : await countAliveMembers(fleet)
    const keyClients = options.keyClients === 0 ? undefined : startKeyClients(fleet, options.keyClients, options.keysPerSecond, random)
    const idle = await measureUsage(fleet, counterFolder, () => systemClock.sleep(options.idleSeconds * 1000))
    let unwatched: AcceptedEdit[] = []
    const edits = await measureUsage(fleet, counterFolder, async () => { unwatched = await makeEdits(options.edits) })
    await waitForRevision(fleet, unwatched.at(-1)?.revision ?? 0)
    const watch = watchRevisions(fleet.vms, options.pollMs)
    await systemClock.sleep(options.pollMs * 5)
    const watched = await makeEdits(options.edits)
    await waitForRevision(fleet, watched.at(-1)?.revision ?? 0)
    await systemClock.sleep(options.pollMs * 5)
    const memoryAfter = nodeMemory(fleet)
    const logged = loggedRevisions(fleet)
    const aliveAfter = aliveBefore === undefined ? undefined : await countAliveMembers(fleet)
    const keys = await keyClients?.stop()
    await pollers?.stop()
    log(`${nodes} nodes: idle and edits measured, load ${idle.machine.loadAverage1m}; killing control VMs`)
    await watch.stop()
    const recovery = await measureRecovery(fleet, editor)
    return {
      nodes,
      startSeconds,
      inForce: timeToEffect(watched, watch.observations, nodes),
      inForceLogged: timeToEffect(unwatched, logged.observations, nodes),
      reverted: watch.reverted + logged.reverted + (pollers?.reverted ?? 0) + recovery.lostRevisions,
      readings: watch.polls,
      acceptP50Ms: unwatched.map((edit) => edit.acceptedMs - edit.sentMs).sort((a, b) => a - b)[Math.floor(unwatched.length / 2)] ?? NaN,
      idle,
      edits,
      editCount: unwatched.length,
      memoryAfter,
      recovery,
      ...(pollers === undefined
        ? {}
        : { pollers: { ...timeToEffect(unwatched, pollers.observations, options.pollers), failures: pollers.failures } }),
      ...(keys === undefined ? {} : { keys }),
      ...(aliveBefore === undefined ? {} : { aliveMembers: { before: aliveBefore, after: aliveAfter ?? [] } })
    }
  } finally {
    await editor.close()
    await extraMembers?.stop()
    await fleet.stop()
    rmSync(counterFolder, { recursive: true, force: true })
  }
}
