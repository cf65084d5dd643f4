import { readFileSync } from 'node:fs'
import type { Fleet } from '../fleet/fleet.js'
import { watchMachine, type MachineLoad } from '../scenarios/machine-load.js'
import { CHANNELS, readCounts, type Channel, type TrafficCounts, type ChannelPorts } from './counts.js'

const CLOCK_TICKS_PER_S = 100

/** Means over the processes of one role; `cpuPercent` is of one core. */
export type RoleUsage = {
  cpuPercent: number
  cpuPercentMax: number
  bytesPerSecond: number
  messagesPerSecond: number
  byChannel: Record<Channel, { bytesPerSecond: number, messagesPerSecond: number, connections: number }>
  rssMb: number
  rssMbMax: number
  anonMb: number
}

/** Resource usage of a fleet during one measurement. */
export type FleetUsage = { seconds: number, machine: MachineLoad, nodes: RoleUsage, controls: RoleUsage }

type Reading = { pid: number, atMs: number, cpuSeconds: number, counts: Record<Channel, TrafficCounts> }

/** CPU time of a process in s, from /proc. */
function cpuSeconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S
}

function memoryMb (pid: number, field: 'VmRSS' | 'RssAnon'): number {
  const match = new RegExp(`${field}:\\s+(\\d+)`).exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(match?.[1] ?? 0) / 1024
}

function portsOf (fleet: Fleet): ChannelPorts {
  return { api: new Set(fleet.controls.map(({ vm }) => vm.apiPort)), peer: new Set(fleet.vms.map(({ vm }) => vm.peerPort)) }
}

const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length

function roleUsage (before: Reading[], after: Reading[]): RoleUsage {
  const pairs = before.map((from, i) => ({ from, to: after[i]!, seconds: (after[i]!.atMs - from.atMs) / 1000 }))
  const cpu = pairs.map(({ from, to, seconds }) => (to.cpuSeconds - from.cpuSeconds) / seconds * 100)
  const rss = after.map(({ pid }) => memoryMb(pid, 'VmRSS'))
  const channelUsage = (channel: Channel) => {
    const rate = (field: keyof TrafficCounts) => mean(pairs.map(({ from, to, seconds }) =>
      (to.counts[channel][field] - from.counts[channel][field]) / seconds))
    // TCP messages are counted at the sender only, so sent messages count twice: each poll has one response, and peers send each other
    // the same number of messages.
    const messagesPerSecond = channel === 'gossip' ? rate('messagesIn') + rate('messagesOut') : 2 * rate('messagesOut')
    return { bytesPerSecond: rate('bytesIn') + rate('bytesOut'), messagesPerSecond, connections: mean(after.map(({ counts }) => counts[channel].connections)) }
  }
  const channels = { api: channelUsage('api'), peer: channelUsage('peer'), gossip: channelUsage('gossip') }
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

/** Current memory of the nodes, in MB. */
export function nodeMemory (fleet: Fleet): { rssMb: number, rssMbMax: number, anonMb: number } {
  const pids = fleet.vms.map(({ node }) => node.pid)
  const rss = pids.map((pid) => memoryMb(pid, 'VmRSS'))
  return { rssMb: mean(rss), rssMbMax: Math.max(...rss), anonMb: mean(pids.map((pid) => memoryMb(pid, 'RssAnon'))) }
}

/** Measures all processes of a fleet while `run` runs. */
export async function measureUsage (fleet: Fleet, counterFolder: string, run: () => Promise<void>): Promise<FleetUsage> {
  const ports = portsOf(fleet)
  const nodePids = fleet.vms.map(({ node }) => node.pid)
  const controlPids = fleet.controls.map((control) => control.process.pid)
  const read = (pids: number[]): Promise<Reading[]> => Promise.all(pids.map(async (pid) => {
    const counts = await readCounts(counterFolder, pid, ports)
    return { pid, atMs: performance.now(), cpuSeconds: cpuSeconds(pid), counts }
  }))
  const [nodesBefore, controlsBefore] = [await read(nodePids), await read(controlPids)]
  const stopMachineWatch = watchMachine()
  const startMs = performance.now()
  await run()
  const seconds = (performance.now() - startMs) / 1000
  const machine = stopMachineWatch()
  const [nodesAfter, controlsAfter] = [await read(nodePids), await read(controlPids)]
  return { seconds, machine, nodes: roleUsage(nodesBefore, nodesAfter), controls: roleUsage(controlsBefore, controlsAfter) }
}
