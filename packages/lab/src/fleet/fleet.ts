import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { authorizeRequest, type Lists, type Member, type NodeSettings } from '@orioleslip/core'
import type { StatsSnapshot } from '@orioleslip/node'
import { stringify } from 'smol-toml'
import { request } from 'undici'
import type { TargetCounts, TargetSpec } from '../target/stand-in-target.js'
import { DAEMON_FLAGS, startProcess, type FleetProcess, type Preload } from './child.js'
import type { LinkDelays, LinkPlan, Place } from './link-plan.js'
import { runOperatorCommand } from './operator.js'
import { freePort } from './ports.js'
import { FLEET_KEY, HOST, writeControlSettings, writeNodeSettings, type ControlVm, type TargetVm } from './settings-files.js'

/** A VM of an experiment, without ports. `target` is absent on VMs that only serve as entry nodes. */
export type VmSpec = {
  vmId: string
  region: string
  failureDomain: string
  target?: Omit<TargetSpec, 'port' | 'nodePort'>
  node?: Partial<NodeSettings>
}

/** Control VMs, VMs and lists of an experiment. */
export type FleetSpec = {
  controls: Array<{ vmId: string, region: string, failureDomain: string }>
  vms: VmSpec[]
  lists: Lists
  /** Simulated delays of TCP connections among nodes and control VMs; no delays when absent. */
  links?: LinkDelays
}

/** A VM of a running fleet. */
export type FleetVm = {
  spec: VmSpec
  vm: TargetVm
  url: string
  node: FleetProcess
  target: FleetProcess | undefined
  /** Kills the node if it still runs, and starts it. */
  restartNode: () => Promise<void>
  restartTarget: () => Promise<void>
  /** Changes the behaviour of the stand-in target. */
  configureTarget: (change: Record<string, unknown>) => Promise<void>
  counts: () => Promise<TargetCounts>
  stats: () => Promise<StatsSnapshot>
  members: () => Promise<Member[]>
}

/** A control VM of a running fleet; `restart` kills its process and starts a new one. */
export type FleetControl = { vm: ControlVm, process: FleetProcess, dataDir: string, restart: () => Promise<void> }

/** A running fleet. */
export type Fleet = {
  folder: string
  controls: FleetControl[]
  vms: FleetVm[]
  vmsOfService: (service: string) => FleetVm[]
  operator: (args: string[]) => Promise<{ code: number, stdout: string, stderr: string }>
  setLists: (lists: Lists) => Promise<void>
  /** Kills all processes and removes the folder with settings and logs, unless `keepFolder` is set. */
  stop: (keepFolder?: boolean) => Promise<void>
}

const DAEMON_SCRIPT = fileURLToPath(import.meta.resolve('@orioleslip/daemon/main'))
const TARGET_SCRIPT = fileURLToPath(new URL('../target/main.js', import.meta.url))
const DELAYED_SOCKETS = new URL('./delayed-sockets.js', import.meta.url).href
const READY_TIMEOUT_MS = 30_000
const POLL_MS = 100

/** Fetches JSON from a loopback URL with a request signed by the fleet key; throws unless the status is 200. */
export async function getJson<T> (url: string): Promise<T> {
  const { host, pathname, search } = new URL(url)
  const signed = { method: 'GET', authority: host, path: pathname + search, body: '' }
  const authorization = authorizeRequest({ kind: 'fleet' }, FLEET_KEY, signed, Date.now())
  const res = await request(url, { headersTimeout: 2000, headers: { authorization } })
  if (res.statusCode !== 200) throw new Error(`${url} responded with status ${res.statusCode}: ${await res.body.text()}`)
  return await res.body.json() as T
}

/** Polls until `check` returns true; an exception counts as false. Throws after `timeoutMs` with the last exception's text. */
export async function waitUntil (condition: string, check: () => Promise<boolean>, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
  const endMs = performance.now() + timeoutMs
  let lastError: unknown
  for (;;) {
    try {
      if (await check()) return
    } catch (err) {
      lastError = err
    }
    if (performance.now() > endMs) throw new Error(`timed out while waiting until ${condition}${lastError === undefined ? '' : `: ${String(lastError)}`}`)
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}

/** Starts control VMs, nodes and stand-in targets as processes, stores the lists and waits until every node is ready. */
export async function startFleet (spec: FleetSpec): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), 'orioleslip-'))
  const controlVms: ControlVm[] = []
  for (const control of spec.controls) {
    controlVms.push({ ...control, address: HOST, apiPort: await freePort(), gossipPort: await freePort() })
  }
  const targetVms: TargetVm[] = []
  for (const vm of spec.vms) targetVms.push(await choosePorts(vm))
  const preload = spec.links === undefined ? () => undefined : writeLinkPlan(folder, spec.links, controlVms, targetVms)
  const controls = controlVms.map((vm) => startControl(folder, controlVms, vm, preload(vm)))
  const operator = (args: string[]) => runOperatorCommand(controlVms, args)
  const vms: FleetVm[] = []
  const fleet: Fleet = {
    folder,
    controls,
    vms,
    vmsOfService: (service) => vms.filter((vm) => vm.spec.target?.service === service),
    operator,
    setLists: (lists) => loadLists(folder, operator, lists),
    stop: async (keepFolder = false) => {
      await Promise.all(vms.flatMap((vm) => [vm.node.stop('SIGKILL'), vm.target?.stop('SIGKILL')]))
      await Promise.all(controls.map((control) => control.process.stop('SIGKILL')))
      if (!keepFolder) rmSync(folder, { recursive: true, force: true })
    }
  }
  try {
    await waitUntil('the control VMs accept the first configuration', async () => {
      const init = await operator(['cluster', 'init'])
      if (init.code !== 0) throw new Error(init.stderr)
      return true
    })
    await fleet.setLists(spec.lists)
    spec.vms.forEach((vmSpec, i) => vms.push(startVm(folder, controlVms, vmSpec, targetVms[i]!, preload(targetVms[i]!))))
    await Promise.all(vms.map((vm) => waitForNode(vm, spec)))
    return fleet
  } catch (err) {
    await fleet.stop()
    throw err
  }
}

/** Writes the link delays to a file and returns a function that gives the preload module of a process by its place. */
function writeLinkPlan (folder: string, delays: LinkDelays, controls: ControlVm[], vms: TargetVm[]): (place: Place) => Preload {
  const plan: LinkPlan = { ...delays, places: {} }
  for (const { region, failureDomain, apiPort } of controls) plan.places[apiPort] = { region, failureDomain }
  for (const { region, failureDomain, peerPort } of vms) plan.places[peerPort] = { region, failureDomain }
  const planFile = join(folder, 'links.json')
  writeFileSync(planFile, JSON.stringify(plan))
  return ({ region, failureDomain }) => ({
    module: DELAYED_SOCKETS,
    env: { ORIOLESLIP_LAB_PLACE: JSON.stringify({ region, failureDomain, planFile }) }
  })
}

function startDaemon (folder: string, vmId: string, file: string, preload: Preload | undefined): FleetProcess {
  return startProcess({ name: vmId, script: DAEMON_SCRIPT, args: ['--config', file], logFile: join(folder, `${vmId}.log`), flags: DAEMON_FLAGS, preload })
}

function startControl (folder: string, all: ControlVm[], vm: ControlVm, preload: Preload | undefined): FleetControl {
  const file = writeControlSettings(folder, all, vm)
  const start = () => startDaemon(folder, vm.vmId, file, preload)
  const control: FleetControl = {
    vm,
    process: start(),
    dataDir: join(folder, `${vm.vmId}-data`),
    restart: async () => {
      await control.process.stop('SIGKILL')
      control.process = start()
    }
  }
  return control
}

async function choosePorts ({ vmId, region, failureDomain }: VmSpec): Promise<TargetVm> {
  return {
    vmId,
    region,
    failureDomain,
    callerPort: await freePort(),
    peerPort: await freePort(),
    gossipPort: await freePort(),
    targetPort: await freePort()
  }
}

function startVm (folder: string, controls: ControlVm[], spec: VmSpec, vm: TargetVm, preload: Preload | undefined): FleetVm {
  const { vmId } = vm
  const file = writeNodeSettings(folder, controls, vm, spec.node)
  const startNode = () => startDaemon(folder, vmId, file, preload)
  const startTarget = () => spec.target === undefined
    ? undefined
    : startProcess({
      name: `${vmId}-target`, script: TARGET_SCRIPT, args: [targetArgument(spec.target, vm)], logFile: join(folder, `${vmId}-target.log`)
    })
  const url = `http://${HOST}:${vm.callerPort}`
  const targetUrl = `http://${HOST}:${vm.targetPort}`
  const running: FleetVm = {
    spec,
    vm,
    url,
    node: startNode(),
    target: startTarget(),
    restartNode: async () => {
      await running.node.stop('SIGKILL')
      running.node = startNode()
    },
    restartTarget: async () => {
      await running.target?.stop('SIGKILL')
      running.target = startTarget()
    },
    configureTarget: async (change) => {
      const res = await request(`${targetUrl}/_control`, { method: 'POST', body: JSON.stringify(change) })
      await res.body.dump()
    },
    counts: () => getJson(`${targetUrl}/_counts`),
    stats: () => getJson(`${url}/.well-known/orioleslip/stats`),
    members: async () => (await getJson<{ members: Member[] }>(`${url}/.well-known/orioleslip/members`)).members
  }
  return running
}

function targetArgument (target: NonNullable<VmSpec['target']>, vm: TargetVm): string {
  return JSON.stringify([{ ...target, port: vm.targetPort, nodePort: vm.callerPort }])
}

/** Waits until the node's lists are confirmed and its members include a ready target for every VM that has one. */
async function waitForNode (vm: FleetVm, spec: FleetSpec): Promise<void> {
  const expected = spec.vms.filter((other) => other.target !== undefined).length
  await waitUntil(`${vm.vm.vmId} is ready`, async () => {
    const state = await getJson<{ listsConfirmed: boolean }>(`${vm.url}/.well-known/orioleslip/state`)
    const ready = (await vm.members()).filter((member) => member.record.target?.state === 'ready' && member.liveness === 'alive')
    return state.listsConfirmed && ready.length === expected
  })
}

async function loadLists (folder: string, operator: Fleet['operator'], lists: Lists): Promise<void> {
  const dir = join(folder, 'lists')
  mkdirSync(dir, { recursive: true })
  writeFileSync(join(dir, 'customers.toml'), stringify({ customers: lists.customers }))
  writeFileSync(join(dir, 'plans.toml'), stringify({ plans: lists.plans }))
  await waitUntil('the lists are accepted', async () => {
    const current = await operator(['--json', 'lists', 'get'])
    if (current.code !== 0) throw new Error(current.stderr)
    const { document: { revision } } = JSON.parse(current.stdout) as { document: { revision: number } }
    const files = ['--customers', join(dir, 'customers.toml'), '--plans', join(dir, 'plans.toml')]
    const edit = await operator(['lists', 'edit', ...files, '--base', String(revision)])
    if (edit.code !== 0) throw new Error(edit.stderr)
    return true
  })
}
