import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import { readIfPresent, replaceFile } from './durable-file.js'
import type { LogEntry, Snapshot } from './entry.js'
import type { TrailingLimits } from './entry-buffer.js'
import { attempt, damaged, type StorageError } from './errors.js'
import { HARD_STATE_FILE, type FileSystem } from './file-system.js'
import { decodeHardState, encodeHardState, type HardState } from './hard-state.js'
import { openSegmentLog, type SegmentLog } from './segment-log.js'
import { decodeSnapshot, encodeSnapshot, snapshotName, verifySnapshot } from './snapshot-file.js'

type AsyncStorageResult = Promise<Result<void, StorageError>>

/** Durable state of one replica of one log group. Writes must not run concurrently, except that of a snapshot file. */
export type Store = {
  log: SegmentLog
  hardState: () => HardState
  saveHardState: (state: Pick<HardState, 'term' | 'vote'>) => AsyncStorageResult
  /** The latest snapshot without its state. */
  snapshot: () => Omit<Snapshot, 'state'> | undefined
  /** State of the snapshot that was loaded at the start; returned only once, so that its memory can be freed. */
  takeInitialState: () => unknown
  /** Content of the snapshot file. */
  readSnapshot: () => Promise<Result<Buffer, StorageError>>
  /** Writes a snapshot of this replica's own state. */
  saveSnapshot: (snapshot: Snapshot) => AsyncStorageResult
  /** Replaces the log by a snapshot from the leader; entries after the snapshot are kept if they continue it. */
  installSnapshot: (data: Buffer) => Promise<Result<Snapshot, StorageError>>
  failure: () => StorageError | undefined
  close: () => Promise<void>
}

/** Options of `openStore`; `dir` belongs to one log group of one replica. */
export type StoreOptions = {
  fs: FileSystem
  dir: string
  segmentBytes: number
  /** Entries kept although the snapshot covers them. */
  trailing: TrailingLimits
  newStorageId?: () => string
}

/** Opens the folder of a replica, or formats it with a new storage id when it is empty. */
export async function openStore (options: StoreOptions): Promise<Result<Store, StorageError>> {
  const { fs, dir, segmentBytes, trailing, newStorageId = randomUUID } = options
  const created = await attempt(dir, () => fs.makeDir(dir))
  if (created.isErr()) return err(created.error)
  const names = await attempt(dir, () => fs.list(dir))
  if (names.isErr()) return err(names.error)
  for (const name of names.value.filter((other) => other.endsWith('.tmp'))) {
    const removed = await attempt(join(dir, name), () => fs.remove(join(dir, name)))
    if (removed.isErr()) return err(removed.error)
  }

  const hardStatePath = join(dir, HARD_STATE_FILE)
  const hardState = await openHardState(fs, hardStatePath, names.value, newStorageId)
  if (hardState.isErr()) return err(hardState.error)
  // Rewriting the hard state checks that the folder is writable. A full disk is tolerated, because accepted entries can still be served.
  const writable = await replaceFile(fs, hardStatePath, encodeHardState(hardState.value))
  const isNew = !names.value.includes(HARD_STATE_FILE)
  if (writable.isErr() && (isNew || writable.error.kind !== 'full')) return err(writable.error)

  const latest = names.value.filter((name) => name.endsWith('.snap')).sort().at(-1)
  let initialSnapshot: Snapshot | undefined
  if (latest !== undefined) {
    const path = join(dir, latest)
    const data = await attempt(path, () => fs.read(path))
    const decoded = data.isErr() ? err(data.error) : await decodeSnapshot(path, data.value)
    if (decoded.isErr()) return err(decoded.error)
    initialSnapshot = decoded.value
  }
  const opened = await openSegmentLog(fs, dir, { segmentBytes, trailing, coveredIndex: initialSnapshot?.lastIndex ?? 0 })
  if (opened.isErr()) return err(opened.error)
  const log = opened.value
  const aligned = await alignLog(dir, log, initialSnapshot)
  if (aligned.isErr()) {
    await log.close()
    return err(aligned.error)
  }
  return ok(createStore(fs, dir, log, hardState.value, initialSnapshot))
}

async function openHardState (
  fs: FileSystem, path: string, names: string[], newStorageId: () => string): Promise<Result<HardState, StorageError>> {
  const data = await readIfPresent(fs, path)
  if (data.isErr()) return err(data.error)
  const hasFiles = names.some((name) => name.endsWith('.seg') || name.endsWith('.snap'))
  if (data.value !== undefined) {
    return decodeHardState(path, data.value).andThen((state) =>
      state.hasLog && !hasFiles ? err(damaged(path, 0, 'the log files that the hard state refers to are missing')) : ok(state))
  }
  if (hasFiles) return err(damaged(path, 0, 'the hard state is missing'))
  return ok({ storageId: newStorageId(), term: 0, vote: null, hasLog: false })
}

/** Completes a snapshot installation that a crash interrupted, and reports a gap between snapshot and log as damage. */
async function alignLog (dir: string, log: SegmentLog, snapshot: Snapshot | undefined): AsyncStorageResult {
  const coveredIndex = snapshot?.lastIndex ?? 0
  const isEmpty = log.lastIndex() < log.firstIndex()
  if (!isEmpty && log.firstIndex() > coveredIndex + 1) {
    return err(damaged(dir, 0, `entries ${coveredIndex + 1} to ${log.firstIndex() - 1} are missing`))
  }
  if (snapshot === undefined) return ok()
  const continues = log.term(coveredIndex) === snapshot.lastTerm || (!isEmpty && log.firstIndex() === coveredIndex + 1)
  return continues ? ok() : await log.reset(coveredIndex + 1)
}

function createStore (
  fs: FileSystem, dir: string, log: SegmentLog, loadedHardState: HardState, initialSnapshot: Snapshot | undefined): Store {
  let hardState = loadedHardState
  let initialState = initialSnapshot?.state
  let snapshotMetadata = initialSnapshot === undefined ? undefined : metadataOf(initialSnapshot)
  let syncFailure: StorageError | undefined
  const hardStatePath = join(dir, HARD_STATE_FILE)

  const failure = () => syncFailure ?? log.failure()
  const recordSyncFailure = <T>(res: Result<T, StorageError>) => {
    if (res.isErr() && res.error.kind === 'syncFailed') syncFailure ??= res.error
    return res
  }

  async function writeSnapshot (index: number, data: Buffer): AsyncStorageResult {
    const path = join(dir, snapshotName(index))
    const written = recordSyncFailure(await replaceFile(fs, path, data))
    if (written.isErr()) return written
    const names = await attempt(dir, () => fs.list(dir))
    if (names.isErr()) return err(names.error)
    for (const name of names.value.filter((other) => other.endsWith('.snap') && other < snapshotName(index))) {
      const removed = await attempt(join(dir, name), () => fs.remove(join(dir, name)))
      if (removed.isErr()) return removed
    }
    return ok()
  }

  async function saveHardState (changed: Partial<HardState>): AsyncStorageResult {
    const earlierFailure = failure()
    if (earlierFailure !== undefined) return err(earlierFailure)
    const state = { ...hardState, ...changed }
    const saved = recordSyncFailure(await replaceFile(fs, hardStatePath, encodeHardState(state)))
    if (saved.isOk()) hardState = state
    return saved
  }

  /** Writes the entries before `hasLog`, which without entries would look like damage. If writing it fails, the next append does it. */
  async function append (entries: LogEntry[]): AsyncStorageResult {
    const written = await log.append(entries)
    if (written.isOk() && entries.length > 0 && !hardState.hasLog) await saveHardState({ hasLog: true })
    return written
  }

  return {
    log: { ...log, append },
    hardState: () => hardState,
    saveHardState,
    snapshot: () => snapshotMetadata,
    takeInitialState: () => {
      const state = initialState
      initialState = undefined
      return state
    },
    readSnapshot: async () => {
      const path = join(dir, snapshotName(snapshotMetadata?.lastIndex ?? 0))
      const data = await attempt(path, () => fs.read(path))
      if (data.isErr()) return err(data.error)
      return (await verifySnapshot(path, data.value)).map(() => data.value)
    },
    saveSnapshot: async (snapshot) => {
      const earlierFailure = failure()
      if (earlierFailure !== undefined) return err(earlierFailure)
      const written = await writeSnapshot(snapshot.lastIndex, await encodeSnapshot(snapshot))
      // A snapshot from the leader may have been installed during the write.
      if (written.isOk() && snapshot.lastIndex > (snapshotMetadata?.lastIndex ?? 0)) snapshotMetadata = metadataOf(snapshot)
      return written
    },
    installSnapshot: async (data) => {
      const earlierFailure = failure()
      if (earlierFailure !== undefined) return err(earlierFailure)
      const decoded = await decodeSnapshot('snapshot from the leader', data)
      if (decoded.isErr()) return err(decoded.error)
      const snapshot = decoded.value
      const written = await writeSnapshot(snapshot.lastIndex, data)
      if (written.isErr()) return err(written.error)
      snapshotMetadata = metadataOf(snapshot)
      const aligned = await alignLog(dir, log, snapshot)
      return aligned.map(() => snapshot)
    },
    failure,
    close: () => log.close()
  }
}

const metadataOf = ({ lastIndex, lastTerm, config }: Snapshot) => ({ lastIndex, lastTerm, config })
