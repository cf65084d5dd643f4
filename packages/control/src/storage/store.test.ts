import test from 'ava'
import { createSeededRandom } from '@orioleslip/core'
import type { LogEntry } from './entry.js'
import { moveAside } from './file-system.js'
import { createFakeDisk, type DiskOperation, type FakeDisk } from './testing/fake-disk.js'
import { openStore } from './store.js'

const config = { groupId: 'g', members: [], excluded: [] }
const entry = (index: number, term = 1): LogEntry => ({ index, term, body: { kind: 'command', cmd: `entry ${index} of term ${term}` } })
const range = (from: number, to: number, term = 1) => Array.from({ length: to - from + 1 }, (_, i) => entry(from + i, term))
const trailing = { entries: 500, bytes: 1_000_000 }
const open = (disk: FakeDisk, segmentBytes = 400) => openStore({ fs: disk.mount(), dir: '/data', segmentBytes, trailing, newStorageId: () => 'disk1' })
const openOk = async (disk: FakeDisk, segmentBytes?: number) => (await open(disk, segmentBytes))._unsafeUnwrap()
const contentOf = ({ log }: Awaited<ReturnType<typeof openOk>>) =>
  Array.from({ length: log.lastIndex() - log.firstIndex() + 1 }, (_, i) => log.entry(log.firstIndex() + i))

/** Creates a disk with 20 entries in four batches over several segments. */
async function createFilledDisk (segmentBytes?: number) {
  const disk = createFakeDisk()
  const store = await openOk(disk, segmentBytes)
  for (let from = 1; from <= 20; from += 5) (await store.log.append(range(from, from + 4)))._unsafeUnwrap()
  return { disk, store }
}

// Guards against writes that are acknowledged before they are synced: the crash discards all unsynced data and file names.
test('appended entries, hard state and snapshot survive a crash', async (t) => {
  const { disk, store } = await createFilledDisk()
  await store.saveHardState({ term: 7, vote: 'disk2' })
  await store.log.truncateFrom(19)
  await store.log.append([entry(19, 7)])
  await store.saveSnapshot({ lastIndex: 12, lastTerm: 1, config, state: ['a'] })
  await store.log.dropCovered(12, { ...trailing, entries: 3 })
  disk.crash()
  const reopened = await openOk(disk)
  t.deepEqual(contentOf(reopened).slice(-10), [...range(10, 18), entry(19, 7)])
  t.deepEqual(reopened.hardState(), { storageId: 'disk1', term: 7, vote: 'disk2', hasLog: true })
  t.deepEqual(reopened.snapshot(), { lastIndex: 12, lastTerm: 1, config })
  t.deepEqual(reopened.takeInitialState(), ['a'])
})

// Guards against a start that fails after a crash, or that loses synced entries together with a torn batch. The process stops at each
// disk operation in turn, and a random part of the unsynced data reaches the disk.
test('a crash at every step of appends, truncations and snapshots keeps what was acknowledged', async (t) => {
  const random = createSeededRandom(11)
  for (let round = 0; round < 600; round++) {
    const disk = createFakeDisk()
    let stepsLeft = 1 + (round % 200)
    const hangAfterLastStep = async () => { if (stepsLeft-- <= 0) await new Promise<never>(() => {}) }
    let acknowledged: LogEntry[] = []
    let pending: LogEntry[] = []
    const runOperations = async () => {
      const store = (await openStore({ fs: disk.mount(hangAfterLastStep), dir: '/data', segmentBytes: 150, trailing }))._unsafeUnwrap()
      for (let term = 1; term < 20; term++) {
        const next = store.log.lastIndex() + 1
        pending = range(next, next + 2, term)
        ;(await store.log.append(pending))._unsafeUnwrap()
        acknowledged = [...acknowledged, ...pending]
        if (term % 3 === 0) {
          const truncatedIndex = store.log.lastIndex() - 1
          acknowledged = acknowledged.filter(({ index }) => index < truncatedIndex)
          ;(await store.log.truncateFrom(truncatedIndex))._unsafeUnwrap()
        }
        if (term % 4 === 0) {
          const last = acknowledged.at(-2)!
          ;(await store.saveSnapshot({ lastIndex: last.index, lastTerm: last.term, config, state: null }))._unsafeUnwrap()
          ;(await store.log.dropCovered(last.index, { ...trailing, entries: 3 }))._unsafeUnwrap()
        }
      }
    }
    await Promise.race([runOperations(), new Promise((resolve) => { setImmediate(resolve) })])
    disk.crash(random)
    const opened = await open(disk, 150)
    if (opened.isErr()) return t.fail(`round ${round}: ${opened.error.message}`)
    const { log } = opened.value
    const kept = contentOf(opened.value)
    const expected = acknowledged.filter(({ index }) => index >= log.firstIndex())
    t.deepEqual(kept.slice(0, expected.length), expected, `round ${round}`)
    t.true(log.firstIndex() <= (opened.value.snapshot()?.lastIndex ?? 0) + 1, `round ${round}`)
  }
})

// Guards against a replica that refuses to start after a power loss: an interrupted write leaves a cut, zeroed or partial record at the
// end of the last segment.
test('a torn tail is truncated', async (t) => {
  for (const change of [
    (data: Buffer) => data.subarray(0, data.length - 3),
    (data: Buffer) => Buffer.concat([data, Buffer.alloc(50)]),
    (data: Buffer) => Buffer.concat([data, Buffer.from('a55a0000ffff', 'hex')])
  ]) {
    const { disk } = await createFilledDisk(100_000)
    disk.corrupt('/data/0000000000000001.seg', change)
    const store = await openOk(disk)
    const kept = contentOf(store)
    t.true(kept.length >= 19)
    t.deepEqual(kept, range(1, kept.length))
    t.true((await store.log.append([entry(kept.length + 1)])).isOk())
  }
})

// Guards against damaged entries that are served, or dropped as if they were a torn tail: bytes of synced files are changed or missing.
test('damage elsewhere is reported with file, offset and remedy', async (t) => {
  const flip = (offset: number) => (data: Buffer) => data.fill(data[offset]! ^ 1, offset, offset + 1)
  const cases: Array<[string, (data: Buffer) => Buffer, number]> = [
    ['/data/0000000000000001.seg', flip(0), 0],
    ['/data/0000000000000001.seg', flip(9), 8],
    ['/data/0000000000000001.seg', flip(30), 8],
    ['/data/0000000000000001.seg', (data) => data.subarray(0, 300), 260],
    ['/data/hard-state.json', flip(20), 0],
    ['/data/0000000000000004.snap', flip(20), 12]
  ]
  for (const [file, change, offset] of cases) {
    const { disk, store } = await createFilledDisk()
    await store.saveSnapshot({ lastIndex: 4, lastTerm: 1, config, state: ['a'] })
    disk.corrupt(file, change)
    const error = (await open(disk))._unsafeUnwrapErr()
    t.like(error, { kind: 'damaged', file })
    if (error.kind === 'damaged' && offset !== 260) t.is(error.offset, offset)
    t.regex(error.message, /rebuilt from its peers.*restore the file/)
  }
  const { disk } = await createFilledDisk(100_000)
  disk.corrupt('/data/0000000000000001.seg', flip(200))
  t.is((await open(disk))._unsafeUnwrapErr().kind, 'damaged', 'an early batch of the last segment')
})

// Guards against a log that treats entries as stored after their write failed with ENOSPC or their sync with EIO.
test('a full disk refuses a batch, a failed sync refuses everything until the restart', async (t) => {
  const failing = (operation: DiskOperation, code: string) => (op: DiskOperation) => op === operation ? code : undefined
  const { disk, store } = await createFilledDisk()
  disk.fault = failing('write', 'ENOSPC')
  t.like((await store.log.append([entry(21)]))._unsafeUnwrapErr(), { kind: 'full' })
  t.like((await store.saveHardState({ term: 9, vote: null }))._unsafeUnwrapErr(), { kind: 'full' })
  t.is(store.hardState().term, 0)
  t.true((await open(disk)).isOk(), 'a full disk does not prevent a restart')
  disk.fault = undefined
  t.true((await store.log.append([entry(21)])).isOk())
  disk.fault = failing('sync', 'EIO')
  t.like((await store.log.append([entry(22)]))._unsafeUnwrapErr(), { kind: 'syncFailed' })
  disk.fault = undefined
  t.like((await store.log.append([entry(22)]))._unsafeUnwrapErr(), { kind: 'syncFailed' })
  t.like((await store.saveHardState({ term: 9, vote: null }))._unsafeUnwrapErr(), { kind: 'syncFailed' })
  disk.crash()
  t.deepEqual(contentOf(await openOk(disk)), range(1, 21))
  disk.fault = failing('open', 'EROFS')
  t.like((await open(disk))._unsafeUnwrapErr(), { kind: 'readOnly' })
})

// Guards against a log with a gap after a power loss, which keeps or undoes each removal of a file since the last sync of the folder.
test('each removal of a segment file is synced before the next one', async (t) => {
  const operationsOf = async (run: (store: Awaited<ReturnType<typeof openOk>>) => Promise<unknown>) => {
    const { disk, store } = await createFilledDisk(150)
    const operations: DiskOperation[] = []
    disk.fault = (operation) => {
      operations.push(operation)
      return undefined
    }
    await run(store)
    return operations.filter((operation) => operation === 'remove' || operation === 'syncDir')
  }
  for (const run of [
    (store: Awaited<ReturnType<typeof openOk>>) => store.log.truncateFrom(3),
    (store: Awaited<ReturnType<typeof openOk>>) => store.log.dropCovered(19, { ...trailing, entries: 2 }),
    (store: Awaited<ReturnType<typeof openOk>>) => store.log.reset(40)
  ]) {
    const operations = await operationsOf(run)
    t.true(operations.filter((operation) => operation === 'remove').length > 1)
    t.deepEqual(operations, operations.map((_, i) => i % 2 === 0 ? 'remove' : 'syncDir'))
  }
})

// Guards against a replica that takes no part until its restart after a write that failed and was undone.
test('a write that fails with an error of the disk is undone, and the next one succeeds', async (t) => {
  const { disk, store } = await createFilledDisk()
  disk.fault = (operation) => operation === 'write' ? 'EIO' : undefined
  t.like((await store.log.append([entry(21)]))._unsafeUnwrapErr(), { kind: 'io' })
  disk.fault = undefined
  t.true(store.log.isSettled())
  t.true((await store.log.append([entry(21)])).isOk())
  t.deepEqual(contentOf(await openOk(disk)), range(1, 21))
})

// Guards against a replica that starts with an emptied log under the storage id that acknowledged the lost entries: a crash while its
// damaged files are moved aside, or the removal of its log files, leaves only a part of the folder.
test('a folder without its log files is reported as damaged, and a crash at any step of moving damaged files aside is safe', async (t) => {
  for (let steps = 0; steps < 40; steps++) {
    const { disk } = await createFilledDisk()
    let stepsLeft = steps
    const hangAfterLastStep = async () => { if (stepsLeft-- <= 0) await new Promise<never>(() => {}) }
    await Promise.race([moveAside(disk.mount(hangAfterLastStep), '/data'), new Promise((resolve) => { setImmediate(resolve) })])
    disk.crash()
    const opened = await openStore({ fs: disk.mount(), dir: '/data', segmentBytes: 400, trailing, newStorageId: () => 'disk2' })
    const isComplete = opened.isOk() && opened.value.log.lastIndex() === 20
    const isBlank = opened.isOk() && opened.value.hardState().storageId === 'disk2' && opened.value.log.lastIndex() === 0
    t.true(isComplete || isBlank || (opened.isErr() && opened.error.kind === 'damaged'), `after ${steps} steps`)
  }
  const { disk } = await createFilledDisk()
  const fs = disk.mount()
  for (const path of disk.paths().filter((name) => name.endsWith('.seg'))) await fs.remove(path)
  t.is((await open(disk))._unsafeUnwrapErr().kind, 'damaged')
})

// Guards against a start that needs more memory than running did: it loads a log in which all entries behind the snapshot were kept.
test('a start loads and keeps covered entries only up to the limits', async (t) => {
  const { disk, store } = await createFilledDisk(150)
  ;(await store.saveSnapshot({ lastIndex: 18, lastTerm: 1, config, state: ['a'] }))._unsafeUnwrap()
  const filesBefore = disk.paths().filter((path) => path.endsWith('.seg')).length
  const reads: string[] = []
  disk.fault = (operation, path) => {
    if (operation === 'read' && path.endsWith('.seg')) reads.push(path)
    return undefined
  }
  const reopened = (await openStore({ fs: disk.mount(), dir: '/data', segmentBytes: 150, trailing: { entries: 8, bytes: 200 } }))._unsafeUnwrap()
  const kept = contentOf(reopened)
  t.deepEqual(kept, range(kept[0]!.index, 20))
  t.true(reopened.log.firstIndex() > 10 && reopened.log.firstIndex() <= 18, `first index ${reopened.log.firstIndex()}`)
  t.true(reopened.log.bytesFrom(reopened.log.firstIndex()) - reopened.log.bytesFrom(19) <= 200)
  const files = disk.paths().filter((path) => path.endsWith('.seg'))
  t.true(files.length < filesBefore)
  t.true(reads.length < filesBefore, 'files whose entries are all superfluous are not read')
  disk.crash()
  t.deepEqual(contentOf(await openOk(disk)).at(-1), entry(20))
})
