import { sign, verifySignature } from '@orioleslip/core'
import { z } from 'zod'
import { packr, packUpdate, unpackUpdate } from './update.js'
import type { Update } from './update.js'

const SIGNATURE_BYTES = 16
/** Length prefix of an update within a message, in bytes. */
export const UPDATE_HEAD_BYTES = 3

type Head = {
  /** VM id and incarnation of the sender. */
  from: string
  incarnation: number
  /** Matches an ack or nack to its ping. */
  seq: number
  updates: Uint8Array[]
}

/** Content of a message beside its head, by kind. */
export type MessageBody =
  /** `to` is empty when any process at the address may reply. */
  | { kind: 'ping', to: string }
  | { kind: 'ack' }
  | { kind: 'pingReq', target: string }
  | { kind: 'nack' }
  | { kind: 'gossip' }
  | { kind: 'tableAsk' }
  /** `last` marks the end of a full table; a `table` message also replies to a `digest` or `want`. */
  | { kind: 'table', last: boolean }
  /** One 32-bit hash per bucket of the table; `reply` marks the reply to another digest. */
  | { kind: 'digest', hashes: Uint8Array, reply: boolean }
  /** Requests the full records of these members. */
  | { kind: 'want', vmIds: string[] }

/** Content of a gossip datagram. */
export type Message = Head & MessageBody

const KINDS = ['ping', 'ack', 'pingReq', 'nack', 'gossip', 'tableAsk', 'table', 'digest', 'want'] as const
const bytes = z.instanceof(Uint8Array<ArrayBufferLike>)
const wireSchema = z.tuple([
  z.number().int(), z.string().min(1), z.number(), z.number().int(), z.array(bytes),
  z.union([z.null(), z.string(), z.boolean(), z.array(z.string()), z.tuple([bytes, z.boolean()])])
])

function argumentOf (msg: MessageBody) {
  switch (msg.kind) {
    case 'ping': return msg.to
    case 'pingReq': return msg.target
    case 'table': return msg.last
    case 'digest': return [msg.hashes, msg.reply]
    case 'want': return msg.vmIds
    case 'ack': case 'nack': case 'gossip': case 'tableAsk': return null
  }
}

/** Encodes and signs a message. */
export function encodeMessage (fleetKey: string, msg: Message): Buffer {
  const body = packr.pack([KINDS.indexOf(msg.kind), msg.from, msg.incarnation, msg.seq, msg.updates, argumentOf(msg)])
  return Buffer.concat([sign(fleetKey, body, SIGNATURE_BYTES), body])
}

function messageOf (wire: z.infer<typeof wireSchema>): Message | undefined {
  const [kindIndex, from, incarnation, seq, updates, arg] = wire
  const head = { from, incarnation, seq, updates }
  const kind = KINDS[kindIndex]
  switch (kind) {
    case 'ping': return typeof arg === 'string' ? { ...head, kind, to: arg } : undefined
    case 'pingReq': return typeof arg === 'string' ? { ...head, kind, target: arg } : undefined
    case 'table': return typeof arg === 'boolean' ? { ...head, kind, last: arg } : undefined
    case 'digest': return Array.isArray(arg) && typeof arg[0] === 'object' && typeof arg[1] === 'boolean'
      ? { ...head, kind, hashes: arg[0], reply: arg[1] }
      : undefined
    case 'want': return Array.isArray(arg) ? { ...head, kind, vmIds: arg.filter((id) => typeof id === 'string') } : undefined
    case 'ack': case 'nack': case 'gossip': case 'tableAsk': return { ...head, kind }
    case undefined: return undefined
  }
}

/** Verifies the signature and decodes; undefined for datagrams that have another key, are damaged or are of an unknown kind. */
export function decodeMessage (fleetKey: string, data: Uint8Array): Message | undefined {
  if (data.length <= SIGNATURE_BYTES) return undefined
  const body = data.subarray(SIGNATURE_BYTES)
  if (!verifySignature(fleetKey, body, data.subarray(0, SIGNATURE_BYTES))) return undefined
  try {
    const parsed = wireSchema.safeParse(packr.unpack(body))
    return parsed.success ? messageOf(parsed.data) : undefined
  } catch {
    return undefined
  }
}

/** Decodes the updates of a message; malformed ones are skipped. */
export function updatesOf (msg: Message): Update[] {
  return msg.updates.flatMap((data) => {
    try {
      return unpackUpdate(data) ?? []
    } catch {
      return []
    }
  })
}

/** Splits updates into groups that each fit into `maxBytes`. */
export function splitUpdates (updates: Update[], maxBytes: number): Uint8Array[][] {
  const groups: Uint8Array[][] = []
  let room = 0
  for (const update of updates) {
    const data = packUpdate(update)
    if (data.length + UPDATE_HEAD_BYTES > room) {
      groups.push([])
      room = maxBytes
    }
    groups.at(-1)?.push(data)
    room -= data.length + UPDATE_HEAD_BYTES
  }
  return groups
}
