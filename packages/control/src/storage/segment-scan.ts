import { err, ok, type Result } from 'neverthrow'
import type { LogEntry } from './entry.js'
import { damaged, type StorageError } from './errors.js'
import { decodeRecord, hasLaterBatch } from './record.js'

/** First bytes of every segment file. */
export const SEGMENT_MAGIC = Buffer.from('OLSLOG1\n')

/** Intact part of one segment file: the positions of its entries, and where it ends. */
export type SegmentExtent = { offsets: number[], endOffset: number }

/** Place of a segment in the log. */
export type SegmentPosition = { firstIndex: number, isLast: boolean }

/** Takes an entry and its record, which is a part of the content of the file. */
export type EntryVisitor = (entry: LogEntry, record: Buffer) => void

/** File name of the segment that starts at a log index. */
export const segmentName = (firstIndex: number) => `${String(firstIndex).padStart(16, '0')}.seg`

/**
 * Decodes a segment and passes its entries to `visit`, one at a time. Only the last segment may end in a torn batch; anything else that
 * does not decode is damage. Damage to the last batch can't be distinguished from a torn batch.
 */
export function scanSegment (
  file: string, data: Buffer, { firstIndex, isLast }: SegmentPosition, visit: EntryVisitor): Result<SegmentExtent, StorageError> {
  const extent: SegmentExtent = { offsets: [], endOffset: SEGMENT_MAGIC.length }
  if (!data.subarray(0, SEGMENT_MAGIC.length).equals(SEGMENT_MAGIC)) {
    // The header is synced before the first record is written.
    const isTorn = isLast && data.length <= SEGMENT_MAGIC.length
    return isTorn ? ok({ ...extent, endOffset: 0 }) : err(damaged(file, 0, 'the segment header is wrong'))
  }
  while (extent.endOffset < data.length) {
    const offset = extent.endOffset
    const index = firstIndex + extent.offsets.length
    const record = decodeRecord(data, offset)
    if (record === undefined) {
      if (!isLast || hasLaterBatch(data, offset, index)) return err(damaged(file, offset, `the record of entry ${index} has a wrong checksum`))
      break
    }
    if (record.entry.index !== index) return err(damaged(file, offset, `found entry ${record.entry.index} instead of entry ${index}`))
    visit(record.entry, data.subarray(offset, record.endOffset))
    extent.offsets.push(offset)
    extent.endOffset = record.endOffset
  }
  return ok(extent)
}
