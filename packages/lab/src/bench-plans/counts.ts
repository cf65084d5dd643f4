import { existsSync, readFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'

/** Payload traffic of one port. `connections` are those open at the time of the reading; a message is one write or datagram. */
export type TrafficCounts = { connections: number, bytesIn: number, bytesOut: number, messagesIn: number, messagesOut: number }

/** Channel of control traffic. Requests of callers, which include the state readings of this benchmark, belong to none. */
export type Channel = 'api' | 'peer' | 'gossip'

export type ChannelPorts = { api: ReadonlySet<number>, peer: ReadonlySet<number> }

export const CHANNELS: readonly Channel[] = ['api', 'peer', 'gossip']
const POLL_INTERVAL_MS = 20
const TIMEOUT_MS = 10_000

function channelOf (key: string, { api, peer }: ChannelPorts): Channel | undefined {
  if (key === 'udp') return 'gossip'
  const port = Number(key.split(':')[1])
  return api.has(port) ? 'api' : peer.has(port) ? 'peer' : undefined
}

const zeroCounts = (): TrafficCounts => ({ connections: 0, bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 })

/** Sums the counters of one process by channel. */
export function sumByChannel (reading: Record<string, TrafficCounts>, ports: ChannelPorts): Record<Channel, TrafficCounts> {
  const sums: Record<Channel, TrafficCounts> = { api: zeroCounts(), peer: zeroCounts(), gossip: zeroCounts() }
  for (const [key, counts] of Object.entries(reading)) {
    const channel = channelOf(key, ports)
    if (channel === undefined) continue
    for (const field of Object.keys(counts) as Array<keyof TrafficCounts>) sums[channel][field] += counts[field]
  }
  return sums
}

/** Makes a daemon write its counters (SIGUSR2) and returns them; throws after 10 s without a file. */
export async function readCounts (folder: string, pid: number, ports: ChannelPorts): Promise<Record<Channel, TrafficCounts>> {
  const file = join(folder, `${pid}.json`)
  rmSync(file, { force: true })
  process.kill(pid, 'SIGUSR2')
  const endMs = performance.now() + TIMEOUT_MS
  while (!existsSync(file)) {
    if (performance.now() > endMs) throw new Error(`process ${pid} did not write its traffic counters within ${TIMEOUT_MS} ms; see its log`)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  return sumByChannel(JSON.parse(readFileSync(file, 'utf8')) as Record<string, TrafficCounts>, ports)
}
