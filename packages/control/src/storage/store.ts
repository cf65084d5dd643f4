import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import { readIfPresent, replaceFile } from './durable-file.js'
import type { LogEntry, Snapshot } from './entry.js'
import { attempt, damaged, type StorageError } from './errors.js'
import { IDENTITY_FILE, type FileSystem } from './file-system.js'
import { decodeHardState, encodeHardState, type HardState } from './hard-state.js'
import { openSegmentLog, type SegmentLog } from './segment-log.js'
import { decodeSnapshot, encodeSnapshot, snapshotName, verifySnapshot } from './snapshot-file.js'

type Outcome = Promise<Result<void, StorageError>>

/** The durable state of one replica of one log group. Writes must not overlap, except that of a snapshot file. */
export type Store = {
  log: SegmentLog
  hardState: () => HardState
  saveHardState: (state: Pick<HardState, 'term' | 'vote'>) => Outcome
  /** The latest snapshot without its state. */
  snapshot: () => Omit<Snapshot, 'state'> | undefined
  /** The state found in the snapshot at the start; handed out once, to free its memory. */
  takeInitialState: () => unknown
  /** Content of the snapshot file. */
  readSnapshot: () => Promise<Result<Buffer, StorageError>>
  /** Writes the snapshot file of this replica's own state. */
  saveSnapshot: (snapshot: Snapshot) => Outcome
  /** Replaces the log by a snapshot from the leader; entries behind it are kept if they continue it. */
  installSnapshot: (data: Buffer) => Promise<Result<Snapshot, StorageError>>
  failure: () => StorageError | undefined
  close: () => Promise<void>
}

/** Options of `openStore`; `dir` belongs to one log group of one replica. */
export type StoreOptions = { fs: FileSystem, dir: string, segmentBytes: number, newStorageId?: () => string }

/** Opens the folder of a replica, or formats it with a new storage id when it is empty. */
export async function openStore (options: StoreOptions): Promise<Result<Store, StorageError>> {
  const { fs, dir, segmentBytes, newStorageId = randomUUID } = options
  const made = await attempt(dir, () => fs.makeDir(dir))
  if (made.isErr()) return err(made.error)
  const names = await attempt(dir, () => fs.list(dir))
  if (names.isErr()) return err(names.error)
  for (const name of names.value.filter((other) => other.endsWith('.tmp'))) {
    const removed = await attempt(join(dir, name), () => fs.remove(join(dir, name)))
    if (removed.isErr()) return err(removed.error)
  }

  const hardStatePath = join(dir, IDENTITY_FILE)
  const hardState = await openHardState(fs, hardStatePath, names.value, newStorageId)
  if (hardState.isErr()) return err(hardState.error)
  // Writing it again proves at the start that the folder is writable. A full disk still allows serving what was accepted.
  const writable = await replaceFile(fs, hardStatePath, encodeHardState(hardState.value))
  const isNew = !names.value.includes(IDENTITY_FILE)
  if (writable.isErr() && (isNew || writable.error.kind !== 'full')) return err(writable.error)

  const latest = names.value.filter((name) => name.endsWith('.snap')).sort().at(-1)
  let initial: Snapshot | undefined
  if (latest !== undefined) {
    const path = join(dir, latest)
    const data = await attempt(path, () => fs.read(path))
    const decoded = data.isErr() ? err(data.error) : await decodeSnapshot(path, data.value)
    if (decoded.isErr()) return err(decoded.error)
    initial = decoded.value
  }
  const opened = await openSegmentLog(fs, dir, segmentBytes)
  if (opened.isErr()) return err(opened.error)
  const log = opened.value
  const aligned = await alignLog(dir, log, initial)
  if (aligned.isErr()) {
    await log.close()
    return err(aligned.error)
  }
  return ok(createStore(fs, dir, log, hardState.value, initial))
}

async function openHardState (
  fs: FileSystem, path: string, names: string[], newStorageId: () => string): Promise<Result<HardState, StorageError>> {
  const data = await readIfPresent(fs, path)
  if (data.isErr()) return err(data.error)
  const hasFiles = names.some((name) => name.endsWith('.seg') || name.endsWith('.snap'))
  if (data.value !== undefined) {
    return decodeHardState(path, data.value).andThen((state) =>
      state.hasLog && !hasFiles ? err(damaged(path, 0, 'the files of the log are missing, which the hard state refers to')) : ok(state))
  }
  if (hasFiles) return err(damaged(path, 0, 'the hard state is missing'))
  return ok({ storageId: newStorageId(), term: 0, vote: null, hasLog: false })
}

/** Completes an installation that a crash interrupted, and refuses a gap between snapshot and log. */
async function alignLog (dir: string, log: SegmentLog, snapshot: Snapshot | undefined): Outcome {
  const coveredIndex = snapshot?.lastIndex ?? 0
  const isEmpty = log.lastIndex() < log.firstIndex()
  if (!isEmpty && log.firstIndex() > coveredIndex + 1) {
    return err(damaged(dir, 0, `entries ${coveredIndex + 1} to ${log.firstIndex() - 1} are missing`))
  }
  if (snapshot === undefined) return ok()
  const continues = log.entry(coveredIndex)?.term === snapshot.lastTerm || (!isEmpty && log.firstIndex() === coveredIndex + 1)
  return continues ? ok() : await log.reset(coveredIndex + 1)
}

function createStore (fs: FileSystem, dir: string, log: SegmentLog, loaded: HardState, initial: Snapshot | undefined): Store {
  let hardState = loaded
  let initialState = initial?.state
  let head = initial === undefined ? undefined : headOf(initial)
  let failed: StorageError | undefined
  const hardStatePath = join(dir, IDENTITY_FILE)

  const failure = () => failed ?? log.failure()
  const noted = <T>(res: Result<T, StorageError>) => {
    if (res.isErr() && res.error.kind === 'syncFailed') failed ??= res.error
    return res
  }

  async function writeSnapshot (index: number, data: Buffer): Outcome {
    const path = join(dir, snapshotName(index))
    const written = noted(await replaceFile(fs, path, data))
    if (written.isErr()) return written
    const names = await attempt(dir, () => fs.list(dir))
    if (names.isErr()) return err(names.error)
    for (const name of names.value.filter((other) => other.endsWith('.snap') && other < snapshotName(index))) {
      const removed = await attempt(join(dir, name), () => fs.remove(join(dir, name)))
      if (removed.isErr()) return removed
    }
    return ok()
  }

  async function saveHardState (changed: Partial<HardState>): Outcome {
    const before = failure()
    if (before !== undefined) return err(before)
    const state = { ...hardState, ...changed }
    const saved = noted(await replaceFile(fs, hardStatePath, encodeHardState(state)))
    if (saved.isOk()) hardState = state
    return saved
  }

  /** The entries are written first: a mark without entries would look like damage. A mark that fails is written with the next entries. */
  async function append (entries: LogEntry[]): Outcome {
    const written = await log.append(entries)
    if (written.isOk() && entries.length > 0 && !hardState.hasLog) await saveHardState({ hasLog: true })
    return written
  }

  return {
    log: { ...log, append },
    hardState: () => hardState,
    saveHardState,
    snapshot: () => head,
    takeInitialState: () => {
      const state = initialState
      initialState = undefined
      return state
    },
    readSnapshot: async () => {
      const path = join(dir, snapshotName(head?.lastIndex ?? 0))
      const data = await attempt(path, () => fs.read(path))
      if (data.isErr()) return err(data.error)
      return (await verifySnapshot(path, data.value)).map(() => data.value)
    },
    saveSnapshot: async (snapshot) => {
      const before = failure()
      if (before !== undefined) return err(before)
      const written = await writeSnapshot(snapshot.lastIndex, await encodeSnapshot(snapshot))
      // A snapshot from the leader may have been installed during the write.
      if (written.isOk() && snapshot.lastIndex > (head?.lastIndex ?? 0)) head = headOf(snapshot)
      return written
    },
    installSnapshot: async (data) => {
      const before = failure()
      if (before !== undefined) return err(before)
      const decoded = await decodeSnapshot('snapshot from the leader', data)
      if (decoded.isErr()) return err(decoded.error)
      const snapshot = decoded.value
      const written = await writeSnapshot(snapshot.lastIndex, data)
      if (written.isErr()) return err(written.error)
      head = headOf(snapshot)
      const aligned = await alignLog(dir, log, snapshot)
      return aligned.map(() => snapshot)
    },
    failure,
    close: () => log.close()
  }
}

const headOf = ({ lastIndex, lastTerm, config }: Snapshot) => ({ lastIndex, lastTerm, config })
