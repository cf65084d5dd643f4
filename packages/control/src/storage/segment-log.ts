import { join } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import type { LogEntry } from './entry.js'
import { attempt, attemptSync, damaged, type StorageError } from './errors.js'
import type { FileSystem, OpenFile } from './file-system.js'
import { encodeRecord } from './record.js'
import { scanSegment, SEGMENT_MAGIC, segmentName } from './segment-scan.js'

type AsyncStorageResult = Promise<Result<void, StorageError>>

/** Log entries in segment files, with a copy in memory. Writes must not run concurrently. */
export type SegmentLog = {
  /** Index of the first entry kept; `lastIndex() + 1` when there is none. */
  firstIndex: () => number
  lastIndex: () => number
  entry: (index: number) => LogEntry | undefined
  /** Entries from an index on, at least one and up to `maxBytes`. */
  slice: (from: number, maxBytes: number) => LogEntry[]
  /** Encoded size of the entries from an index on. */
  bytesFrom: (index: number) => number
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
  /** Drops entries before `index`; files are removed once nothing in them is needed. */
  dropBefore: (index: number) => AsyncStorageResult
  /** Error after which all writes are refused until the next start. */
  failure: () => StorageError | undefined
  close: () => Promise<void>
}

type Segment = { path: string, firstIndex: number, offsets: number[], size: number }

/** Opens the segments of a folder; truncates a torn tail and reports damage elsewhere. */
export async function openSegmentLog (fs: FileSystem, dir: string, segmentBytes: number): Promise<Result<SegmentLog, StorageError>> {
  const segments: Segment[] = []
  let entries: LogEntry[] = []
  let sizes: number[] = []
  let baseIndex = 1
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
    for (const [position, name] of found.entries()) {
      const path = join(dir, name)
      const firstIndex = Number.parseInt(name, 10)
      if (position === 0) baseIndex = firstIndex
      if (firstIndex !== baseIndex + entries.length) return err(damaged(path, 0, `entries ${baseIndex + entries.length} to ${firstIndex - 1} are missing`))
      const data = await attempt(path, () => fs.read(path))
      if (data.isErr()) return err(data.error)
      const scanned = scanSegment(path, data.value, firstIndex, position === found.length - 1)
      if (scanned.isErr()) return err(scanned.error)
      const { offsets, endOffset } = scanned.value
      segments.push({ path, firstIndex, offsets, size: endOffset })
      entries.push(...scanned.value.entries)
      sizes.push(...offsets.map((offset, i) => (offsets[i + 1] ?? endOffset) - offset))
      if (endOffset < data.value.length) hasExcess = true
      if (endOffset === 0) discardLastSegment()
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
    if (batchStart !== baseIndex + entries.length) throw new Error(`entry ${batchStart} appended after entry ${baseIndex + entries.length - 1}`)
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
    for (const record of records) {
      segment.offsets.push(segment.size)
      segment.size += record.length
      sizes.push(record.length)
    }
    entries.push(...added)
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
    discardInMemoryFrom(index)
    return await settle()
  }

  function discardInMemoryFrom (index: number) {
    const kept = Math.max(0, index - baseIndex)
    entries.length = Math.min(entries.length, kept)
    sizes.length = entries.length
  }

  async function reset (nextIndex: number): AsyncStorageResult {
    // The newest file is removed first, so that a crash in between leaves a contiguous log that the snapshot covers.
    const emptied = await truncateFrom(0)
    if (emptied.isErr() && emptied.error.kind !== 'full') return emptied
    entries = []
    sizes = []
    baseIndex = nextIndex
    return emptied
  }

  async function dropBefore (index: number): AsyncStorageResult {
    if (firstFailure !== undefined) return err(firstFailure)
    const dropped = Math.min(Math.max(0, index - baseIndex), entries.length)
    entries = entries.slice(dropped)
    sizes = sizes.slice(dropped)
    baseIndex += dropped
    while (segments.length > 1 && segments[1]!.firstIndex <= baseIndex) obsolete.push(segments.shift()!.path)
    return await settle()
  }

  function slice (from: number, maxBytes: number): LogEntry[] {
    let end = from - baseIndex
    for (let bytes = 0; end < entries.length && (bytes === 0 || bytes + sizes[end]! <= maxBytes); end++) bytes += sizes[end]!
    return entries.slice(from - baseIndex, end)
  }

  const loaded = await load()
  if (loaded.isErr()) {
    await closeFile()
    return err(loaded.error)
  }
  return ok({
    firstIndex: () => baseIndex,
    lastIndex: () => baseIndex + entries.length - 1,
    entry: (index) => entries[index - baseIndex],
    slice,
    bytesFrom: (index) => sizes.slice(Math.max(0, index - baseIndex)).reduce((sum, size) => sum + size, 0),
    bytes: () => sizes.reduce((sum, size) => sum + size, 0),
    append,
    truncateFrom,
    reset,
    dropBefore,
    isSettled: () => !hasExcess && obsolete.length === 0 && !isDirUnsynced,
    failure: () => firstFailure,
    close: closeFile
  })
}
