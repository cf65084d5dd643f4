import { existsSync, readFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'

/** Payload of one port; `connections` are open at the time of the reading, a message is one write or datagram. */
export type Counts = { connections: number, bytesIn: number, bytesOut: number, messagesIn: number, messagesOut: number }

/** Control traffic by channel. Calls of callers, among them the readings of this tool, are left out. */
export type Channel = 'api' | 'peer' | 'gossip'

export type Ports = { api: ReadonlySet<number>, peer: ReadonlySet<number> }

export const CHANNELS: readonly Channel[] = ['api', 'peer', 'gossip']
const WAIT_MS = 20
const LIMIT_MS = 10_000

function channelOf (key: string, { api, peer }: Ports): Channel | undefined {
  if (key === 'udp') return 'gossip'
  const port = Number(key.split(':')[1])
  return api.has(port) ? 'api' : peer.has(port) ? 'peer' : undefined
}

const none = (): Counts => ({ connections: 0, bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 })

/** Sorts the readings of one process by channel. */
export function byChannel (reading: Record<string, Counts>, ports: Ports): Record<Channel, Counts> {
  const sums: Record<Channel, Counts> = { api: none(), peer: none(), gossip: none() }
  for (const [key, counts] of Object.entries(reading)) {
    const channel = channelOf(key, ports)
    if (channel === undefined) continue
    for (const field of Object.keys(counts) as Array<keyof Counts>) sums[channel][field] += counts[field]
  }
  return sums
}

/** Asks a daemon for its counters and waits for them. */
export async function readCounts (folder: string, pid: number, ports: Ports): Promise<Record<Channel, Counts>> {
  const file = join(folder, `${pid}.json`)
  rmSync(file, { force: true })
  process.kill(pid, 'SIGUSR2')
  const endMs = performance.now() + LIMIT_MS
  while (!existsSync(file)) {
    if (performance.now() > endMs) throw new Error(`process ${pid} wrote no counters within ${LIMIT_MS} ms; see its log`)
    await new Promise((resolve) => setTimeout(resolve, WAIT_MS))
  }
  return byChannel(JSON.parse(readFileSync(file, 'utf8')) as Record<string, Counts>, ports)
}
