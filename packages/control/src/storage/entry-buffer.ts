import type { Configuration, LogEntry } from './entry.js'
import { decodeRecord } from './record.js'

/** How much of the log is kept behind an index; the smaller of both limits counts. */
export type TrailingLimits = { entries: number, bytes: number }

/**
 * The entries of a log in memory. They are held encoded, outside of the heap, where an entry has the size that limits are given in; only
 * the newest ones, which are about to be sent and applied, are also held decoded.
 */
export type EntryBuffer = {
  /** Index of the first entry kept; `lastIndex() + 1` when there is none. */
  firstIndex: () => number
  lastIndex: () => number
  entry: (index: number) => LogEntry | undefined
  term: (index: number) => number | undefined
  /** The latest entry that changes the members; undefined when none is kept. */
  latestConfig: () => { index: number, config: Configuration } | undefined
  /** Entries from an index on, at least one and up to `maxBytes`. */
  slice: (from: number, maxBytes: number) => LogEntry[]
  /** Encoded size of the entries from an index on. */
  bytesFrom: (index: number) => number
  /** Adds the next entry with its record; `isNew` says that it is about to be used. */
  push: (entry: LogEntry, record: Buffer, isNew: boolean) => void
  truncateFrom: (index: number) => void
  /** Removes all entries; the next one has `nextIndex`. */
  reset: (nextIndex: number) => void
  dropBefore: (index: number) => void
  /** First index to keep when entries up to `index` are superfluous, except the last ones within the limits and the one at `index`. */
  trailingStart: (index: number, limits: TrailingLimits) => number
}

/** `startByte` counts from the opening of the log. Commands lose their `body` when newer entries follow. */
type Kept = { term: number, startByte: number, record: Buffer, body: LogEntry['body'] | undefined }

/** Creates an empty buffer; `decodedBytes` is the encoded size of the newest entries that are also held decoded, at least one. */
export function createEntryBuffer (decodedBytes: number): EntryBuffer {
  let baseIndex = 1
  let kept: Kept[] = []
  let endByte = 0
  /** Commands before this position are held encoded only. */
  let decodedFrom = 0

  const lastIndex = () => baseIndex + kept.length - 1
  const startByteOf = (position: number) => kept[position]?.startByte ?? endByte
  const bytesFrom = (index: number) => endByte - startByteOf(Math.max(0, index - baseIndex))

  const toEntry = ({ term, record, body }: Kept, index: number): LogEntry => {
    if (body !== undefined) return { index, term, body }
    const decoded = decodeRecord(record, 0)
    if (decoded === undefined) throw new Error(`the record of entry ${index} has changed in memory`)
    return decoded.entry
  }

  const forgetDecoded = () => {
    for (; decodedFrom < kept.length - 1 && endByte - startByteOf(decodedFrom) > decodedBytes; decodedFrom++) {
      const entry = kept[decodedFrom]!
      if (entry.body?.kind === 'command') entry.body = undefined
    }
  }

  return {
    firstIndex: () => baseIndex,
    lastIndex,
    entry: (index) => {
      const entry = kept[index - baseIndex]
      return entry === undefined ? undefined : toEntry(entry, index)
    },
    term: (index) => kept[index - baseIndex]?.term,
    latestConfig: () => {
      for (let position = kept.length - 1; position >= 0; position--) {
        const { body } = kept[position]!
        if (body?.kind === 'config') return { index: baseIndex + position, config: body.config }
      }
      return undefined
    },
    slice: (from, maxBytes) => {
      const start = from - baseIndex
      let end = start
      while (end < kept.length && (end === start || startByteOf(end + 1) - startByteOf(start) <= maxBytes)) end++
      return kept.slice(start, end).map((entry, i) => toEntry(entry, from + i))
    },
    bytesFrom,
    push: ({ term, body }, record, isNew) => {
      const isHeld = isNew || body.kind !== 'command'
      kept.push({ term, startByte: endByte, record, body: isHeld ? body : undefined })
      endByte += record.length
      forgetDecoded()
    },
    truncateFrom: (index) => {
      const count = Math.min(kept.length, Math.max(0, index - baseIndex))
      endByte = startByteOf(count)
      kept.length = count
      decodedFrom = Math.min(decodedFrom, count)
    },
    reset: (nextIndex) => {
      kept = []
      decodedFrom = 0
      baseIndex = nextIndex
    },
    dropBefore: (index) => {
      const dropped = Math.min(Math.max(0, index - baseIndex), kept.length)
      kept = kept.slice(dropped)
      baseIndex += dropped
      decodedFrom = Math.max(0, decodedFrom - dropped)
    },
    trailingStart: (index, { entries, bytes }) => {
      const endOfIndex = startByteOf(index + 1 - baseIndex)
      let start = index
      while (start > baseIndex && index - start + 1 < entries && endOfIndex - startByteOf(start - 1 - baseIndex) <= bytes) start--
      return start
    }
  }
}
