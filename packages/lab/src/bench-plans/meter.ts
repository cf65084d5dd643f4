import { readFileSync } from 'node:fs'
import type { Fleet } from '../fleet/fleet.js'
import { watchMachine, type MachineLoad } from '../scenarios/machine-load.js'
import { CHANNELS, readCounts, type Channel, type Counts, type Ports } from './counts.js'

const CLOCK_TICKS_PER_S = 100

/** Means over the processes of one role; `cpuPercent` is of one core. */
export type RoleUse = {
  cpuPercent: number
  cpuPercentMax: number
  bytesPerSecond: number
  messagesPerSecond: number
  byChannel: Record<Channel, { bytesPerSecond: number, messagesPerSecond: number, connections: number }>
  rssMb: number
  rssMbMax: number
  anonMb: number
}

export type Use = { seconds: number, machine: MachineLoad, nodes: RoleUse, controls: RoleUse }

type Reading = { pid: number, atMs: number, cpuSeconds: number, counts: Record<Channel, Counts> }

/** Processor time of a process in s, from /proc. */
function cpuSeconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S
}

function memoryMb (pid: number, field: 'VmRSS' | 'RssAnon'): number {
  const match = new RegExp(`${field}:\\s+(\\d+)`).exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(match?.[1] ?? 0) / 1024
}

function portsOf (fleet: Fleet): Ports {
  return { api: new Set(fleet.controls.map(({ vm }) => vm.apiPort)), peer: new Set(fleet.vms.map(({ vm }) => vm.peerPort)) }
}

const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

function roleUse (before: Reading[], after: Reading[]): RoleUse {
  const pairs = before.map((from, i) => ({ from, to: after[i]!, seconds: (after[i]!.atMs - from.atMs) / 1000 }))
  const cpu = pairs.map(({ from, to, seconds }) => (to.cpuSeconds - from.cpuSeconds) / seconds * 100)
  const rss = after.map(({ pid }) => memoryMb(pid, 'VmRSS'))
  const ofChannel = (channel: Channel) => {
    const per = (field: keyof Counts) => mean(pairs.map(({ from, to, seconds }) =>
      (to.counts[channel][field] - from.counts[channel][field]) / seconds))
    // A received TCP message shows at the sender only; each poll has one answer, and peers send each other the same amount.
    const messagesPerSecond = channel === 'gossip' ? per('messagesIn') + per('messagesOut') : 2 * per('messagesOut')
    return { bytesPerSecond: per('bytesIn') + per('bytesOut'), messagesPerSecond, connections: mean(after.map(({ counts }) => counts[channel].connections)) }
  }
  const channels = { api: ofChannel('api'), peer: ofChannel('peer'), gossip: ofChannel('gossip') }
  return {
    cpuPercent: mean(cpu),
    cpuPercentMax: Math.max(...cpu),
    bytesPerSecond: CHANNELS.reduce((sum, channel) => sum + channels[channel].bytesPerSecond, 0),
    messagesPerSecond: CHANNELS.reduce((sum, channel) => sum + channels[channel].messagesPerSecond, 0),
    byChannel: channels,
    rssMb: mean(rss),
    rssMbMax: Math.max(...rss),
    anonMb: mean(after.map(({ pid }) => memoryMb(pid, 'RssAnon')))
  }
}

/** Memory of the nodes at this moment, in MB. */
export function nodeMemory (fleet: Fleet): { rssMb: number, rssMbMax: number, anonMb: number } {
  const pids = fleet.vms.map(({ node }) => node.pid)
  const rss = pids.map((pid) => memoryMb(pid, 'VmRSS'))
  return { rssMb: mean(rss), rssMbMax: Math.max(...rss), anonMb: mean(pids.map((pid) => memoryMb(pid, 'RssAnon'))) }
}

/** Measures all processes of a fleet while `run` runs. */
export async function measureUse (fleet: Fleet, counterFolder: string, run: () => Promise<void>): Promise<Use> {
  const ports = portsOf(fleet)
  const nodePids = fleet.vms.map(({ node }) => node.pid)
  const controlPids = fleet.controls.map((control) => control.process.pid)
  const read = (pids: number[]): Promise<Reading[]> => Promise.all(pids.map(async (pid) => {
    const counts = await readCounts(counterFolder, pid, ports)
    return { pid, atMs: performance.now(), cpuSeconds: cpuSeconds(pid), counts }
  }))
  const [nodesBefore, controlsBefore] = [await read(nodePids), await read(controlPids)]
  const endWatch = watchMachine()
  const startMs = performance.now()
  await run()
  const seconds = (performance.now() - startMs) / 1000
  const machine = endWatch()
  const [nodesAfter, controlsAfter] = [await read(nodePids), await read(controlPids)]
  return { seconds, machine, nodes: roleUse(nodesBefore, nodesAfter), controls: roleUse(controlsBefore, controlsAfter) }
}
