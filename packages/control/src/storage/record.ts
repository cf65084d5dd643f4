import crc32 from 'crc-32'
import { Packr } from 'msgpackr'
import type { LogEntry } from './entry.js'

// Without shared record structures each log record can be decoded on its own.
const packr = new Packr({ useRecords: false })

/** Encodes plain data with msgpack. */
export const pack = (value: unknown): Buffer => packr.pack(value) as Buffer
/** Decodes the output of `pack`. */
export const unpack = (data: Uint8Array): unknown => packr.unpack(data)

/** CRC-32 as an unsigned number. */
export const checksum = (data: Uint8Array): number => crc32.buf(data) >>> 0

// A slice takes about 20 ms, short enough for heartbeats, which are due every 150 ms.
const SLICE_BYTES = 4 * 1024 * 1024

/** Same as `checksum`, for large data: yields to the event loop between slices. */
export async function checksumLarge (data: Uint8Array): Promise<number> {
  let crc = 0
  for (let start = 0; start < data.length; start += SLICE_BYTES) {
    if (start > 0) await new Promise((resolve) => { setImmediate(resolve) })
    crc = crc32.buf(data.subarray(start, start + SLICE_BYTES), crc)
  }
  return crc >>> 0
}

// Layout: marker (2 bytes), length of the payload (4), CRC of length and payload (4), payload.
const MARKER = 0xa55a
const HEADER_BYTES = 10

/** A decoded record; `batchStart` is the index of the first entry of its batch, which was written with a single sync. */
export type LogRecord = { entry: LogEntry, batchStart: number, endOffset: number }

/** Encodes a log entry with its checksum. */
export function encodeRecord (entry: LogEntry, batchStart: number): Buffer {
  const payload = pack([entry.index, entry.term, batchStart, entry.body])
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length)
  record.writeUInt16BE(MARKER, 0)
  record.writeUInt32BE(payload.length, 2)
  payload.copy(record, HEADER_BYTES)
  record.writeUInt32BE(crcOf(record, 0, payload.length), 6)
  return record
}

/** Decodes the record at an offset; undefined when there is no intact one. */
export function decodeRecord (data: Buffer, offset: number): LogRecord | undefined {
  if (offset + HEADER_BYTES > data.length || data.readUInt16BE(offset) !== MARKER) return undefined
  const length = data.readUInt32BE(offset + 2)
  const endOffset = offset + HEADER_BYTES + length
  if (length === 0 || endOffset > data.length) return undefined
  if (data.readUInt32BE(offset + 6) !== crcOf(data, offset, length)) return undefined
  const [index, term, batchStart, body] = unpack(data.subarray(offset + HEADER_BYTES, endOffset)) as [number, number, number, LogEntry['body']]
  return { entry: { index, term, body }, batchStart, endOffset }
}

function crcOf (data: Buffer, offset: number, length: number): number {
  const start = crc32.buf(data.subarray(offset + 2, offset + 6))
  return crc32.buf(data.subarray(offset + HEADER_BYTES, offset + HEADER_BYTES + length), start) >>> 0
}

/**
 * Distinguishes damage from a torn tail: true when an intact record after `offset` was written after the entry at `index` had been synced.
 * Records of one batch may reach the disk in any order before a crash, records of a later batch only after the sync of the earlier one.
 */
export function hasLaterBatch (data: Buffer, offset: number, index: number): boolean {
  for (let position = data.indexOf(0xa5, offset + 1); position !== -1; position = data.indexOf(0xa5, position + 1)) {
    const record = decodeRecord(data, position)
    if (record !== undefined && record.batchStart > index) return true
  }
  return false
}
