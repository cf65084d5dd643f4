import type { Clock, Random } from '@orioleslip/core'
import type { ReplicationMessage, ReplicationReply, ReplicationTransport } from '../messages.js'

/** Handles a message that arrived at a VM and returns the reply. */
export type Handler = (message: ReplicationMessage) => Promise<ReplicationReply>

/** Carries messages in memory; all faults come from the seeded random. */
export type FakeNetwork = {
  transportOf: (vmId: string) => ReplicationTransport
  setHandler: (vmId: string, handler: Handler | undefined) => void
  /** Drops messages and replies in one direction. */
  cut: (from: string, to: string) => void
  isolate: (vmId: string) => void
  heal: () => void
  /** One-way delay; each message takes between one and `1 + jitter` times as long, so that messages overtake each other. */
  delayMs: number
  jitter: number
  loss: number
  duplicates: number
}

/** Creates a network without faults. */
export function createFakeNetwork (clock: Clock, random: Random, vmIds: string[]): FakeNetwork {
  const handlers = new Map<string, Handler>()
  const cuts = new Set<string>()
  const never = new Promise<never>(() => {})
  const copy = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T

  async function transmit (from: string, to: string) {
    await clock.sleep(network.delayMs * (1 + network.jitter * random.next()))
    if (cuts.has(`${from}>${to}`) || random.next() < network.loss) await never
  }

  async function deliver (from: string, to: string, message: ReplicationMessage): Promise<ReplicationReply> {
    await transmit(from, to)
    const handler = handlers.get(to)
    if (handler === undefined) throw new Error('connection refused')
    const reply = copy(await handler(copy(message)))
    await transmit(to, from)
    return reply
  }

  const network: FakeNetwork = {
    transportOf: (from) => ({
      send: async (to, message) => {
        const sent = copy(message)
        const isDuplicated = random.next() < network.duplicates
        const deliveries = [deliver(from, to, sent), ...(isDuplicated ? [deliver(from, to, sent)] : [])]
        return await Promise.any(deliveries)
      }
    }),
    setHandler: (vmId, handler) => { handler === undefined ? handlers.delete(vmId) : handlers.set(vmId, handler) },
    cut: (from, to) => { cuts.add(`${from}>${to}`) },
    isolate: (vmId) => {
      for (const other of vmIds.filter((id) => id !== vmId)) {
        network.cut(vmId, other)
        network.cut(other, vmId)
      }
    },
    heal: () => cuts.clear(),
    delayMs: 20,
    jitter: 0.2,
    loss: 0,
    duplicates: 0
  }
  return network
}
