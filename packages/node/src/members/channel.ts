import type { CancelSignal, Clock } from '@orioleslip/core'
import { encodeMessage, splitUpdates, UPDATE_HEAD_BYTES } from './message.js'
import type { MessageBody } from './message.js'
import type { SelfRecordStore } from './self-record.js'
import type { Address, DatagramSocket } from './socket.js'
import type { ByteBudget, Dissemination } from './dissemination.js'
import type { MemberTable } from './table.js'
import { MAX_DATAGRAM_BYTES, PIGGYBACK_BYTES } from './timing.js'
import { packUpdate } from './update.js'
import type { Update } from './update.js'

/** Signature, kind, sender (up to 64 characters), incarnation, sequence number and argument. */
const HEAD_BYTES = 120
const CHUNK_BYTES = MAX_DATAGRAM_BYTES - HEAD_BYTES
/** IP and UDP headers; they count against the byte budget. */
const IP_UDP_BYTES = 28
/** Datagrams of a table sent without a pause, so that a receive buffer of the usual 208 KiB does not overflow. */
const CHUNKS_PER_BURST = 8
const CHUNK_PAUSE_MS = 10

/** Counts of datagrams and payload bytes since the start. */
export type ChannelStats = { sentMessages: number, sentBytes: number, receivedMessages: number, receivedBytes: number, rejected: number }

/** Sending side of the gossip socket: messages with piggybacked updates. */
export type Channel = {
  /** Sends a message; the updates in `first` precede the queued ones. */
  send: (to: Address, body: MessageBody, seq: number, first?: Update[]) => void
  /** Sends queued updates to each address. */
  gossip: (targets: Address[]) => void
  /** Sends updates in as many datagrams as needed, paced; with `isFullTable` the last one is marked as the end of a full table. */
  sendTable: (to: Address, updates: Update[], isFullTable: boolean, signal: CancelSignal) => Promise<void>
  stats: ChannelStats
}

/** Dependencies of `createChannel`. */
export type ChannelOptions = {
  fleetKey: string
  clock: Clock
  socket: DatagramSocket
  selfRecord: SelfRecordStore
  table: MemberTable
  dissemination: Dissemination
  budget: ByteBudget
}

/** Creates the channel. */
export function createChannel ({ fleetKey, clock, socket, selfRecord, table, dissemination, budget }: ChannelOptions): Channel {
  const stats: ChannelStats = { sentMessages: 0, sentBytes: 0, receivedMessages: 0, receivedBytes: 0, rejected: 0 }

  const encode = (body: MessageBody, seq: number, updates: Uint8Array[]) => {
    const { vmId, incarnation } = selfRecord.record()
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
    dissemination.forEachDue(copies, (vmId, full) => {
      const update = vmId === selfRecord.record().vmId ? selfRecord.update(full) : table.update(vmId, full)
      // A forgotten member has no update; it is treated as sent, so that it leaves the queue.
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
    sendTable: async (to, updates, isFullTable, signal) => {
      const groups = splitUpdates(updates, CHUNK_BYTES)
      for (const [i, group] of groups.entries()) {
        if (signal.aborted) return
        const data = encode({ kind: 'table', last: isFullTable && i === groups.length - 1 }, 0, group)
        transmit(to, data)
        budget.spend(data.length + IP_UDP_BYTES)
        if (i % CHUNKS_PER_BURST === CHUNKS_PER_BURST - 1) await clock.sleep(CHUNK_PAUSE_MS, signal)
      }
    }
  }
}
