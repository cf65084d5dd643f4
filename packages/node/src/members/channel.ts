import type { Clock } from '@orioleslip/core'
import { encodeMessage, splitUpdates, UPDATE_HEAD_BYTES } from './message.js'
import type { MessageBody } from './message.js'
import type { OwnRecord } from './own-record.js'
import type { Address, DatagramSocket } from './socket.js'
import type { ByteBudget, Spread } from './spread.js'
import type { MemberTable } from './table.js'
import { MAX_DATAGRAM_BYTES, PIGGYBACK_BYTES } from './timing.js'
import { packUpdate } from './update.js'
import type { Update } from './update.js'

/** Signature, kind, sender (up to 64 characters), incarnation, sequence number and argument. */
const HEAD_BYTES = 120
const CHUNK_BYTES = MAX_DATAGRAM_BYTES - HEAD_BYTES
/** IP and UDP headers; they count against the byte budget. */
const IP_UDP_BYTES = 28
/** Pause after this many chunks, so that a receive buffer of the usual 208 KiB does not overflow. */
const CHUNKS_PER_BURST = 8
const CHUNK_PAUSE_MS = 10

/** Datagrams and payload bytes since the start. */
export type ChannelStats = { sentMessages: number, sentBytes: number, receivedMessages: number, receivedBytes: number, rejected: number }

/** Sends messages with updates attached. */
export type Channel = {
  /** Sends a probe message; `first` goes before the waiting updates. */
  send: (to: Address, body: MessageBody, seq: number, first?: Update[]) => void
  /** Sends waiting updates to each address. */
  gossip: (targets: Address[]) => void
  /** Sends updates in as many datagrams as needed, paced; `whole` marks the last one as the end of a whole table. */
  sendTable: (to: Address, updates: Update[], whole: boolean, signal: AbortSignal) => Promise<void>
  stats: ChannelStats
}

export type ChannelParts = {
  fleetKey: string
  clock: Clock
  socket: DatagramSocket
  own: OwnRecord
  table: MemberTable
  spread: Spread
  budget: ByteBudget
}

/** Creates the sending side of the gossip socket. */
export function createChannel ({ fleetKey, clock, socket, own, table, spread, budget }: ChannelParts): Channel {
  const stats: ChannelStats = { sentMessages: 0, sentBytes: 0, receivedMessages: 0, receivedBytes: 0, rejected: 0 }

  const encode = (body: MessageBody, seq: number, updates: Uint8Array[]) => {
    const { vmId, incarnation } = own.record()
    return encodeMessage(fleetKey, { from: vmId, incarnation, seq, updates, ...body })
  }

  const transmit = (to: Address, data: Uint8Array) => {
    stats.sentMessages++
    stats.sentBytes += data.length
    socket.send(data, to)
  }

  const attach = (maxBytes: number, copies: number, first: Update[]): Uint8Array[] => {
    const packed = first.map(packUpdate)
    let room = maxBytes - packed.reduce((sum, data) => sum + data.length + UPDATE_HEAD_BYTES, 0)
    spread.pick(copies, (vmId, full) => {
      const update = vmId === own.record().vmId ? own.update(full) : table.update(vmId, full)
      // A forgotten member has nothing to send; taking it uses up its sends.
      if (update === undefined) return true
      const data = packUpdate(update)
      room -= data.length + UPDATE_HEAD_BYTES
      if (room >= 0) packed.push(data)
      return room >= 0
    })
    return packed
  }

  return {
    stats,
    send: (to, body, seq, first = []) => transmit(to, encode(body, seq, attach(PIGGYBACK_BYTES, 1, first))),
    gossip: (targets) => {
      const data = encode({ kind: 'gossip' }, 0, attach(CHUNK_BYTES, targets.length, []))
      for (const to of targets) transmit(to, data)
      budget.spend(targets.length * (data.length + IP_UDP_BYTES))
    },
    sendTable: async (to, updates, whole, signal) => {
      const groups = splitUpdates(updates, CHUNK_BYTES)
      for (const [i, group] of groups.entries()) {
        if (signal.aborted) return
        const data = encode({ kind: 'table', last: whole && i === groups.length - 1 }, 0, group)
        transmit(to, data)
        budget.spend(data.length + IP_UDP_BYTES)
        if (i % CHUNKS_PER_BURST === CHUNKS_PER_BURST - 1) await clock.sleep(CHUNK_PAUSE_MS, signal)
      }
    }
  }
}
