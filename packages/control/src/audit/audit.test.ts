import { appendFile, mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { pino } from 'pino'
import { openAuditArchive, type AuditArchive } from './archive.js'
import { GENESIS, verifyChain, type AuditContent, type AuditEntry } from './chain.js'
import { runArchiveBackfill } from './archive-backfill.js'
import { createAuditTrail } from './trail.js'
import { createAuditWindow } from './window.js'

const log = pino({ level: 'silent' })

const content = (i: number): AuditContent => ({
  wallMs: i, vmId: 'c1', operator: 'ana', action: 'edit', editId: `edit-${i}`, baseRevision: i, changes: [], outcome: { kind: 'accepted', revision: i + 1 }
})

async function createFolder (t: ExecutionContext): Promise<string> {
  const dir = await mkdtemp(join(tmpdir(), 'orioleslip-'))
  t.teardown(() => rm(dir, { recursive: true }))
  return dir
}

/** Creates a trail with `count` entries, as on one control VM. */
async function createTrail (dir: string, count: number) {
  const window = createAuditWindow()
  const archive = await openAuditArchive(dir, log)
  for (let i = 0; i < count; i++) {
    archive.offer(window.append(content(i)))
    if (i % 500 === 0) await archive.close()
  }
  await archive.close()
  const machine = { auditAnchor: window.anchor, auditEntries: window.entries, auditHead: window.head }
  return { window, archive, trail: createAuditTrail({ vmId: 'c1', machine, archive }) }
}

async function readAll (page: (afterSeq: number, limit: number) => Promise<AuditEntry[]>): Promise<AuditEntry[]> {
  const entries: AuditEntry[] = []
  for (;;) {
    const next = await page(entries.length, 400)
    if (next.length === 0) return entries
    entries.push(...next)
  }
}

// Guards against tampering that verification misses: an entry is changed, removed, reordered, or given the hash of another one.
test('every kind of tampering with the chain is found', (t) => {
  const window = createAuditWindow()
  for (let i = 0; i < 5; i++) window.append(content(i))
  const entries = [...window.entries()]
  t.deepEqual(verifyChain(GENESIS, entries), window.head())
  const rehashed = { ...entries[2]!, operator: 'eve' }
  const tampered: AuditEntry[][] = [
    entries.map((entry) => entry.seq === 3 ? rehashed : entry),
    entries.filter((entry) => entry.seq !== 3),
    [entries[0]!, entries[2]!, entries[1]!],
    entries.map((entry) => entry.seq === 2 ? { ...entry, hash: entries[2]!.hash } : entry)
  ]
  for (const list of tampered) t.true('kind' in verifyChain(GENESIS, list))
})

// Guards against a window that grows without bound, and against a gap between archive and window when entries are evicted or the
// control VM restarts.
test('old entries leave the memory and stay in the verified trail over restarts', async (t) => {
  const dir = await createFolder(t)
  const { window, trail } = await createTrail(dir, 2300)
  t.is(window.entries().length, 1000)
  t.is(window.anchor().seq, 1300)
  t.deepEqual(await trail.verify(), { kind: 'intact', vmId: 'c1', entries: 2300, head: window.head() })
  const all = await readAll(trail.page)
  t.deepEqual(verifyChain(GENESIS, all), window.head())
  const reopened = await openAuditArchive(dir, log)
  t.deepEqual(reopened.last(), window.head())
  t.is((await readdir(dir)).length, 3)
})

// Guards against a changed archive file that verification misses because it checks only the entries in memory.
test('a changed archive file is found', async (t) => {
  const dir = await createFolder(t)
  const { trail } = await createTrail(dir, 1500)
  const file = join(dir, 'audit-000000000001.jsonl')
  const text = await readFile(file, 'utf8')
  await writeFile(file, text.replace('"edit-20"', '"edit-99"'))
  const report = await trail.verify()
  t.like(report, { kind: 'broken', seq: 21 })
})

// Guards against an archive that can't be read or lacks an entry after a crash while a line was being written.
test('an incomplete line is removed and written again', async (t) => {
  const dir = await createFolder(t)
  const { window, archive } = await createTrail(dir, 3)
  await appendFile(join(dir, 'audit-000000000001.jsonl'), '{"seq":4,"wal')
  const reopened = await openAuditArchive(dir, log)
  t.deepEqual(reopened.last(), archive.last())
  reopened.offer(window.append(content(3)))
  await reopened.close()
  t.deepEqual(verifyChain(GENESIS, await reopened.read(0, 10)), window.head())
})

// Guards against a control VM without the old audit entries: it lost its disk, and the snapshot holds only the latest ones. Sources that
// fail or send forged entries must not stop the backfill.
test('an archive that starts from a snapshot fetches the earlier entries', async (t) => {
  const source = await createTrail(await createFolder(t), 1700)
  const archive: AuditArchive = await openAuditArchive(await createFolder(t), log)
  for (const entry of source.window.entries()) archive.offer(entry)
  await archive.close()
  const headSeq = () => source.window.head().seq
  t.is(archive.firstSeqAfterGap(headSeq()), 701)
  const clock = createFakeClock()
  const stop = new AbortController()
  const forged = async (afterSeq: number, limit: number) => (await source.trail.page(afterSeq, limit)).map((entry) => ({ ...entry, operator: 'eve' }))
  const sources = [
    { vmId: 'c3', page: () => Promise.reject(new Error('unreachable')) },
    { vmId: 'c4', page: forged },
    { vmId: 'c2', page: source.trail.page }
  ]
  const backfill = runArchiveBackfill({ archive, headSeq, sources, clock, log, signal: stop.signal })
  while (archive.last().seq < 1700) await new Promise((resolve) => setImmediate(resolve))
  stop.abort()
  await backfill
  t.deepEqual(verifyChain(GENESIS, await readAll(archive.read)), source.window.head())
})

// Guards against entries that are missing in the archive: writes to a slow or failing disk take so long that more entries wait than
// the archive keeps pending.
test('entries beyond the limit of pending ones are written later from memory', async (t) => {
  const archive = await openAuditArchive(await createFolder(t), log)
  const window = createAuditWindow()
  for (let i = 0; i < 2100; i++) archive.offer(window.append(content(i)))
  await archive.close()
  t.is(archive.last().seq, 2000)
  const machine = { auditAnchor: window.anchor, auditEntries: window.entries, auditHead: window.head }
  const { page } = createAuditTrail({ vmId: 'c1', machine, archive })
  const stop = new AbortController()
  const headSeq = () => window.head().seq
  const backfill = runArchiveBackfill({ archive, headSeq, sources: [{ vmId: 'c1', page }], clock: createFakeClock(), log, signal: stop.signal })
  while (archive.last().seq < 2100) await new Promise((resolve) => setImmediate(resolve))
  stop.abort()
  await backfill
  t.deepEqual(archive.last(), window.head())
})
