import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { systemClock, type Random } from '@orioleslip/core'
import { startFleet, waitUntil, type Fleet, type FleetSpec } from '../fleet/fleet.js'
import { benchLists, createEditor, type AcceptedEdit } from './editor.js'
import { startExtraMembers } from './extra-members.js'
import { round } from './figures.js'
import { startKeyClients, type KeyLoad } from './key-clients.js'
import { measureUse, nodeMemory, type Use } from './meter.js'
import { startPollers } from './pollers.js'
import { measureRecovery, type Recovery } from './recovery.js'
import { inForce, loggedRevisions, nodeState, watchRevisions, type InForce } from './revisions.js'

export type SizeOptions = {
  nodes: number
  customers: number
  settleSeconds: number
  idleSeconds: number
  edits: number
  editIntervalMs: number
  pollMs: number
  /** Connections that poll as nodes do, beside the nodes; 0 for none. */
  pollers: number
  /** Members that only gossip, beside the nodes; 0 for none. */
  extraMembers: number
  /** Clients of the key register and the keys that they claim per second in all; 0 for none. */
  keyClients: number
  keysPerSecond: number
  random: Random
  log: (line: string) => void
}

export type SizeReport = {
  nodes: number
  startSeconds: number
  /** By readings of each node's state, every `pollMs`. */
  inForce: InForce
  /** By the nodes' logs, while nothing read their state. */
  inForceLogged: InForce
  reverted: number
  readings: number
  acceptP50Ms: number
  idle: Use
  edits: Use
  editCount: number
  /** Memory of the nodes after the second edit phase, in which their state was read as well. */
  memoryAfter: ReturnType<typeof nodeMemory>
  recovery: Recovery
  pollers?: InForce & { failures: number }
  keys?: KeyLoad
  /** Members that each node saw as alive before the idle measurement and after the edits; with extra members only. */
  aliveMembers?: { before: number[], after: number[] }
}

const DOMAINS = [['r1', 'r1-a'], ['r1', 'r1-b'], ['r1', 'r1-c'], ['r2', 'r2-a'], ['r2', 'r2-b']] as const
const CONTROL_DOMAINS = [DOMAINS[0], DOMAINS[1], DOMAINS[3]]
const IN_FORCE_LIMIT_MS = 20_000

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

async function waitForAll (fleet: Fleet, revision: number): Promise<void> {
  // A node that stays behind shows as missing in the figures; it must not end the measurement.
  await waitUntil(`revision ${revision} is in effect`, async () => {
    const states = await Promise.all(fleet.vms.map(nodeState))
    return states.every((state) => state !== undefined && state.revision >= revision)
  }, IN_FORCE_LIMIT_MS).catch(() => {})
}

async function aliveMembers (fleet: Fleet): Promise<number[]> {
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
  let extra: Awaited<ReturnType<typeof startExtraMembers>> | undefined
  try {
    const pollers = options.pollers === 0 ? undefined : await startPollers(fleet, options.pollers, random)
    extra = options.extraMembers === 0 ? undefined : await startExtraMembers(fleet, options.extraMembers)
    await systemClock.sleep(options.settleSeconds * 1000)
    const known = options.extraMembers === 0 ? undefined : await aliveMembers(fleet)
    const keyClients = options.keyClients === 0 ? undefined : startKeyClients(fleet, options.keyClients, options.keysPerSecond, random)
    const idle = await measureUse(fleet, counterFolder, () => systemClock.sleep(options.idleSeconds * 1000))
    let quiet: AcceptedEdit[] = []
    const edits = await measureUse(fleet, counterFolder, async () => { quiet = await makeEdits(options.edits) })
    await waitForAll(fleet, quiet.at(-1)?.revision ?? 0)
    const watch = watchRevisions(fleet.vms, options.pollMs)
    await systemClock.sleep(options.pollMs * 5)
    const watched = await makeEdits(options.edits)
    await waitForAll(fleet, watched.at(-1)?.revision ?? 0)
    await systemClock.sleep(options.pollMs * 5)
    const memoryAfter = nodeMemory(fleet)
    const logged = loggedRevisions(fleet)
    const knownAfter = known === undefined ? undefined : await aliveMembers(fleet)
    const keys = await keyClients?.stop()
    await pollers?.stop()
    log(`${nodes} nodes: idle and edits measured, load ${idle.machine.loadAverage1m}; killing control VMs`)
    await watch.stop()
    const recovery = await measureRecovery(fleet, editor)
    return {
      nodes,
      startSeconds,
      inForce: inForce(watched, watch.sightings, nodes),
      inForceLogged: inForce(quiet, logged.sightings, nodes),
      reverted: watch.reverted + logged.reverted + (pollers?.reverted ?? 0) + recovery.lostRevisions,
      readings: watch.polls,
      acceptP50Ms: quiet.map((edit) => edit.acceptedMs - edit.sentMs).sort((a, b) => a - b)[Math.floor(quiet.length / 2)] ?? NaN,
      idle,
      edits,
      editCount: quiet.length,
      memoryAfter,
      recovery,
      ...(pollers === undefined ? {} : { pollers: { ...inForce(quiet, pollers.sightings, options.pollers), failures: pollers.failures } }),
      ...(keys === undefined ? {} : { keys }),
      ...(known === undefined ? {} : { aliveMembers: { before: known, after: knownAfter ?? [] } })
    }
  } finally {
    await editor.close()
    await extra?.stop()
    await fleet.stop()
    rmSync(counterFolder, { recursive: true, force: true })
  }
}
