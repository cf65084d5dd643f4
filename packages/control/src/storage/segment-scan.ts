import { err, ok, type Result } from 'neverthrow'
import type { LogEntry } from './entry.js'
import { damaged, type StorageError } from './errors.js'
import { decodeRecord, hasLaterBatch } from './record.js'

/** First bytes of every segment file. */
export const SEGMENT_MAGIC = Buffer.from('OLSLOG1\n')

/** Content of one segment file; `offsets` are the positions of the entries, `endOffset` is where the intact part ends. */
export type SegmentContent = { entries: LogEntry[], offsets: number[], endOffset: number }

/** File name of the segment that starts at a log index. */
export const segmentName = (firstIndex: number) => `${String(firstIndex).padStart(16, '0')}.seg`

/**
 * Decodes a segment. Only the last segment may end in a torn batch; anything else that does not decode is damage.
 * Damage to the last batch can't be distinguished from a torn batch.
 */
export function scanSegment (file: string, data: Buffer, firstIndex: number, isLast: boolean): Result<SegmentContent, StorageError> {
  const content: SegmentContent = { entries: [], offsets: [], endOffset: SEGMENT_MAGIC.length }
  if (!data.subarray(0, SEGMENT_MAGIC.length).equals(SEGMENT_MAGIC)) {
    // The header is synced before the first record is written.
    const isTorn = isLast && data.length <= SEGMENT_MAGIC.length
    return isTorn ? ok({ ...content, endOffset: 0 }) : err(damaged(file, 0, 'the segment header is wrong'))
  }
  while (content.endOffset < data.length) {
    const offset = content.endOffset
    const index = firstIndex + content.entries.length
    const record = decodeRecord(data, offset)
    if (record === undefined) {
      if (!isLast || hasLaterBatch(data, offset, index)) return err(damaged(file, offset, `the record of entry ${index} has a wrong checksum`))
      break
    }
    if (record.entry.index !== index) return err(damaged(file, offset, `found entry ${record.entry.index} instead of entry ${index}`))
    content.entries.push(record.entry)
    content.offsets.push(offset)
    content.endOffset = record.endOffset
  }
  return ok(content)
}
