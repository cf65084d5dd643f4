import { createChunkList } from '@orioleslip/core'
import { Packr } from 'msgpackr'
import { packHead, packReport, unpackHead, unpackReport, type CompactHead, type CompactRefusal, type CompactReport } from './compact.js'
import type { ResponseHead, StreamMessage } from './messages.js'

/** Largest payload of a frame, in bytes; a longer one closes the connection. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024
/** Largest payload of a frame before the peer has proved that it belongs to the fleet, in bytes. */
export const MAX_HANDSHAKE_FRAME_BYTES = 4096

const HEADER_BYTES = 9
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true })

/** Messages of a connection outside calls, sent on stream 0. An `ask` is a request and an `answer` its reply, matched by `id`. */
export type ConnectionMessage =
  /** `sentMs` as on the head of a call. */
  | { type: 'hello', vmId: string, nonce: Uint8Array, sentMs?: number }
  | { type: 'welcome', vmId: string, nonce: Uint8Array, proof: Uint8Array }
  | { type: 'proof', proof: Uint8Array }
  | { type: 'ask', id: number, kind: string, body: unknown }
  | { type: 'answer', id: number, body: unknown }
  | { type: 'ping' }
  | { type: 'pong' }

export type Frame = { stream: number, msg: StreamMessage | ConnectionMessage }

const MESSAGE_CODES = {
  hello: 1,
  welcome: 2,
  proof: 3,
  ask: 4,
  answer: 5,
  ping: 6,
  pong: 7,
  head: 16,
  accept: 17,
  data: 18,
  end: 19,
  credit: 20,
  cancel: 21,
  responseHead: 22,
  responseData: 23,
  responseEnd: 24,
  refuse: 25
} as const

type MessageType = keyof typeof MESSAGE_CODES
const MESSAGE_TYPES = new Map<number, MessageType>(Object.entries(MESSAGE_CODES).map(([type, code]) => [code, type as MessageType]))

/** Encodes a frame as one or two buffers (header and payload), without copying body bytes. */
export function encodeFrame (stream: number, msg: StreamMessage | ConnectionMessage): Uint8Array[] {
  const header = Buffer.allocUnsafe(HEADER_BYTES)
  header.writeUInt8(MESSAGE_CODES[msg.type], 4)
  header.writeUInt32BE(stream, 5)
  const payload = encodePayload(msg)
  header.writeUInt32BE(payload === undefined ? 0 : payload.length, 0)
  return payload === undefined ? [header] : [header, payload]
}

function encodePayload (msg: StreamMessage | ConnectionMessage): Uint8Array | undefined {
  switch (msg.type) {
    case 'data': case 'responseData': return msg.chunk
    case 'accept': case 'end': case 'cancel': case 'ping': case 'pong': return undefined
    case 'head': return packr.pack(packHead(msg))
    case 'responseHead': return packr.pack(msg.head)
    case 'responseEnd': return packr.pack(packReport(msg.report))
    case 'refuse': return packr.pack([msg.refusal, packReport(msg.report)])
    default: return packr.pack(msg)
  }
}

function decodePayload (type: MessageType, payload: Buffer): StreamMessage | ConnectionMessage {
  switch (type) {
    case 'data': return { type, chunk: payload }
    case 'responseData': return { type, chunk: payload }
    case 'accept': case 'end': case 'cancel': case 'ping': case 'pong': return { type }
    case 'head': return { type, ...unpackHead(packr.unpack(payload) as CompactHead) }
    case 'responseHead': return { type, head: packr.unpack(payload) as ResponseHead }
    case 'responseEnd': return { type, report: unpackReport(packr.unpack(payload) as CompactReport) }
    case 'refuse': {
      const [refusal, report] = packr.unpack(payload) as CompactRefusal
      return { type, refusal, report: unpackReport(report) }
    }
    default: return packr.unpack(payload) as StreamMessage | ConnectionMessage
  }
}

/** Creates a decoder that splits a byte stream into frames; it throws on an unknown type or a frame above the limit at that time. */
export function createFrameDecoder (onFrame: (frame: Frame) => void, maxFrameBytes = () => MAX_FRAME_BYTES): (chunk: Buffer) => void {
  const pending = createChunkList()
  let neededBytes = HEADER_BYTES

  const parse = (buf: Buffer): number => {
    let at = 0
    for (;;) {
      if (buf.length - at < HEADER_BYTES) {
        neededBytes = HEADER_BYTES
        return at
      }
      const length = buf.readUInt32BE(at)
      if (length > maxFrameBytes()) throw new Error(`frame of ${length} bytes exceeds the limit of ${maxFrameBytes()}`)
      if (buf.length - at < HEADER_BYTES + length) {
        neededBytes = HEADER_BYTES + length
        return at
      }
      const code = buf.readUInt8(at + 4)
      const type = MESSAGE_TYPES.get(code)
      if (type === undefined) throw new Error(`unknown frame type ${code}`)
      const payload = buf.subarray(at + HEADER_BYTES, at + HEADER_BYTES + length)
      const stream = buf.readUInt32BE(at + 5)
      at += HEADER_BYTES + length
      onFrame({ stream, msg: decodePayload(type, payload) })
    }
  }
  return (chunk) => {
    pending.push(chunk)
    if (pending.size() < neededBytes) return
    const { buffer, byteOffset, byteLength } = pending.takeAll()
    const buf = Buffer.from(buffer, byteOffset, byteLength)
    const rest = buf.subarray(parse(buf))
    if (rest.length > 0) pending.push(rest)
  }
}
