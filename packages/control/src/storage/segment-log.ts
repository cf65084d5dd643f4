import { join } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import type { LogEntry } from './entry.js'
import { createEntryBuffer, type EntryBuffer, type TrailingLimits } from './entry-buffer.js'
import { attempt, attemptSync, damaged, type StorageError } from './errors.js'
import type { FileSystem, OpenFile } from './file-system.js'
import { encodeRecord } from './record.js'
import { scanSegment, SEGMENT_MAGIC, segmentName } from './segment-scan.js'

type AsyncStorageResult = Promise<Result<void, StorageError>>

/** Log entries in segment files, with a copy in memory. Writes must not run concurrently. */
export type SegmentLog = Pick<EntryBuffer, 'firstIndex' | 'lastIndex' | 'entry' | 'term' | 'latestConfig' | 'slice' | 'bytesFrom'> & {
  /** Encoded size of all entries kept. */
  bytes: () => number
  /** Writes the entries and syncs once. On an error none of them is kept, but see `isSettled`. */
  append: (entries: LogEntry[]) => AsyncStorageResult
  /** False while the files may still hold entries that were not kept, for want of space; the next write removes them first. */
  isSettled: () => boolean
  /** Removes the entry at `index` and all later ones. */
  truncateFrom: (index: number) => AsyncStorageResult
  /** Removes all entries; the next one has `nextIndex`. */
  reset: (nextIndex: number) => AsyncStorageResult
  /** Drops the entries up to `index`, which a snapshot covers, except the last ones within the limits; unneeded files are removed. */
  dropCovered: (index: number, limits: TrailingLimits) => AsyncStorageResult
  /** Error after which all writes are refused until the next start. */
  failure: () => StorageError | undefined
  close: () => Promise<void>
}

type Segment = { path: string, firstIndex: number, offsets: number[], size: number }

/** Encoded size of the newest entries that are also held decoded, in bytes. */
const DECODED_BYTES = 1024 * 1024

/** Options of `openSegmentLog`; the latest snapshot covers the entries up to `coveredIndex`, 0 without one. */
export type SegmentLogOptions = { segmentBytes: number, coveredIndex: number, trailing: TrailingLimits }

/**
 * Opens the segments of a folder; truncates a torn tail and reports damage elsewhere. Files are read one by one, and covered entries beyond
 * the limits are dropped after each, so that a start does not need more memory than running.
 */
export async function openSegmentLog (
  fs: FileSystem, dir: string, { segmentBytes, coveredIndex, trailing }: SegmentLogOptions): Promise<Result<SegmentLog, StorageError>> {
  const segments: Segment[] = []
  const entries = createEntryBuffer(DECODED_BYTES)
  let file: OpenFile | undefined
  let firstFailure: StorageError | undefined
  /** The last segment file may be longer than `size`. */
  let hasExcess = false
  /** Files that are no longer part of the log, the newest first. */
  const obsolete: string[] = []
  /** Files were removed and the folder is not synced yet. */
  let isDirUnsynced = false

  const recordFailure = (error: StorageError) => {
    if (error.kind !== 'full') firstFailure ??= error
    return err(error)
  }
  const closeFile = async () => {
    const open = file
    file = undefined
    if (open !== undefined) await attempt(dir, open.close)
  }
  const syncDir = async (): AsyncStorageResult => {
    const synced = await attemptSync(dir, () => fs.syncDir(dir))
    return synced.isErr() ? recordFailure(synced.error) : ok()
  }

  async function load (): AsyncStorageResult {
    const names = await attempt(dir, () => fs.list(dir))
    if (names.isErr()) return err(names.error)
    const found = names.value.filter((name) => name.endsWith('.seg')).sort()
    const indexes = found.map((name) => Number.parseInt(name, 10))
    for (const [position, name] of found.entries()) {
      const path = join(dir, name)
      const firstIndex = indexes[position]!
      const nextIndex = indexes[position + 1]
      if (nextIndex !== undefined && nextIndex <= coveredIndex - trailing.entries) {
        obsolete.push(path)
        continue
      }
      if (segments.length === 0) entries.reset(firstIndex)
      const expectedIndex = entries.lastIndex() + 1
      if (firstIndex !== expectedIndex) return err(damaged(path, 0, `entries ${expectedIndex} to ${firstIndex - 1} are missing`))
      const data = await attempt(path, () => fs.read(path))
      if (data.isErr()) return err(data.error)
      const scanned = scanSegment(path, data.value, { firstIndex, isLast: nextIndex === undefined }, (entry, record) => {
        // A copy, so that a small entry does not keep the content of the whole file.
        entries.push(entry, Buffer.from(record), false)
      })
      if (scanned.isErr()) return err(scanned.error)
      const { offsets, endOffset } = scanned.value
      segments.push({ path, firstIndex, offsets, size: endOffset })
      if (endOffset < data.value.length) hasExcess = true
      if (endOffset === 0) discardLastSegment()
      discardCovered(coveredIndex, trailing)
    }
    const settled = await settle()
    // Accepted entries can be served from a full disk.
    return settled.isErr() && settled.error.kind !== 'full' ? settled : ok()
  }

  async function openLast (): Promise<Result<OpenFile, StorageError>> {
    if (file !== undefined) return ok(file)
    const path = segments.at(-1)!.path
    const opened = await attempt(path, () => fs.open(path, 'existing'))
    if (opened.isOk()) file = opened.value
    return opened
  }

  /** Takes the last segment out of the log; `settle` removes its file. */
  function discardLastSegment () {
    const segment = segments.pop()!
    obsolete.push(segment.path)
    hasExcess = false
  }

  /** Removes from the disk what is no longer part of the log. Has to succeed before the next write, so that a restart finds no gap. */
  async function settle (): AsyncStorageResult {
    if (obsolete.length > 0) await closeFile()
    for (;;) {
      // Each removal is synced before the next one, as a power loss could undo any of several and leave a gap.
      const synced = isDirUnsynced ? await syncDir() : ok()
      if (synced.isErr()) return synced
      isDirUnsynced = false
      const path = obsolete[0]
      if (path === undefined) break
      const removed = await attempt(path, () => fs.remove(path))
      if (removed.isErr()) return recordFailure(removed.error)
      obsolete.shift()
      isDirUnsynced = true
    }
    const segment = segments.at(-1)
    if (!hasExcess || segment === undefined) return ok()
    const opened = await openLast()
    if (opened.isErr()) return recordFailure(opened.error)
    const truncated = await attempt(segment.path, () => opened.value.truncate(segment.size))
    if (truncated.isErr()) return recordFailure(truncated.error)
    const synced = await attemptSync(segment.path, opened.value.sync)
    if (synced.isErr()) return recordFailure(synced.error)
    hasExcess = false
    return ok()
  }

  async function addSegment (firstIndex: number): AsyncStorageResult {
    await closeFile()
    const path = join(dir, segmentName(firstIndex))
    const opened = await attempt(path, () => fs.open(path, 'replace'))
    if (opened.isErr()) return err(opened.error)
    const written = await attempt(path, () => opened.value.write(SEGMENT_MAGIC, 0))
    const synced = written.isOk() ? await attemptSync(path, opened.value.sync) : written
    const named = synced.isOk() ? await syncDir() : synced
    if (named.isErr()) {
      await attempt(path, opened.value.close)
      if (named.error.kind === 'syncFailed') return recordFailure(named.error)
      obsolete.push(path)
      const settled = await settle()
      return settled.isErr() ? settled : named
    }
    file = opened.value
    segments.push({ path, firstIndex, offsets: [], size: SEGMENT_MAGIC.length })
    return ok()
  }

  async function append (added: LogEntry[]): AsyncStorageResult {
    if (firstFailure !== undefined) return err(firstFailure)
    if (added.length === 0) return ok()
    const settled = await settle()
    if (settled.isErr()) return settled
    const batchStart = added[0]!.index
    if (batchStart !== entries.lastIndex() + 1) throw new Error(`entry ${batchStart} appended after entry ${entries.lastIndex()}`)
    if (segments.length === 0 || segments.at(-1)!.size >= segmentBytes) {
      const rolled = await addSegment(batchStart)
      if (rolled.isErr()) return rolled
    }
    const segment = segments.at(-1)!
    const opened = await openLast()
    if (opened.isErr()) return err(opened.error)
    const records = added.map((entry) => encodeRecord(entry, batchStart))
    const written = await attempt(segment.path, () => opened.value.write(Buffer.concat(records), segment.size))
    const synced = written.isOk() ? await attemptSync(segment.path, opened.value.sync) : written
    if (synced.isErr()) {
      if (synced.error.kind === 'syncFailed') return recordFailure(synced.error)
      hasExcess = true
      const undone = await settle()
      return undone.isErr() ? undone : synced
    }
    for (const [i, record] of records.entries()) {
      segment.offsets.push(segment.size)
      segment.size += record.length
      entries.push(added[i]!, record, true)
    }
    return ok()
  }

  async function truncateFrom (index: number): AsyncStorageResult {
    if (firstFailure !== undefined) return err(firstFailure)
    while (segments.length > 0 && segments.at(-1)!.firstIndex >= index) discardLastSegment()
    const segment = segments.at(-1)
    if (segment !== undefined && index < segment.firstIndex + segment.offsets.length) {
      segment.size = segment.offsets[index - segment.firstIndex]!
      segment.offsets.length = index - segment.firstIndex
      hasExcess = true
    }
    entries.truncateFrom(index)
    return await settle()
  }

  async function reset (nextIndex: number): AsyncStorageResult {
    // The newest file is removed first, so that a crash in between leaves a contiguous log that the snapshot covers.
    const emptied = await truncateFrom(0)
    if (emptied.isErr() && emptied.error.kind !== 'full') return emptied
    entries.reset(nextIndex)
    return emptied
  }

  /** Drops covered entries from memory, and takes the files that hold no others out of the log; `settle` removes them. */
  function discardCovered (index: number, limits: TrailingLimits) {
    entries.dropBefore(entries.trailingStart(Math.min(index, entries.lastIndex()), limits))
    while (segments.length > 1 && segments[1]!.firstIndex <= entries.firstIndex()) obsolete.push(segments.shift()!.path)
  }

  async function dropCovered (index: number, limits: TrailingLimits): AsyncStorageResult {
    if (firstFailure !== undefined) return err(firstFailure)
    discardCovered(index, limits)
    return await settle()
  }

  const loaded = await load()
  if (loaded.isErr()) {
    await closeFile()
    return err(loaded.error)
  }
  return ok({
    firstIndex: entries.firstIndex,
    lastIndex: entries.lastIndex,
    entry: entries.entry,
    term: entries.term,
    latestConfig: entries.latestConfig,
    slice: entries.slice,
    bytesFrom: entries.bytesFrom,
    bytes: () => entries.bytesFrom(entries.firstIndex()),
    append,
    truncateFrom,
    reset,
    dropCovered,
    isSettled: () => !hasExcess && obsolete.length === 0 && !isDirUnsynced,
    failure: () => firstFailure,
    close: closeFile
  })
}
