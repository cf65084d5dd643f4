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

/** A trail with `count` entries, as on one control VM. */
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

// Guards against a change, removal, insertion or reordering of entries that verification misses.
test('every tampering with the chain is found', (t) => {
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

// Guards against a window that grows without bound or that loses the connection to the archive.
test('old entries leave the memory and stay in the verified trail over restarts', async (t) => {
  const dir = await createFolder(t)
  const { window, trail } = await createTrail(dir, 2300)
  t.is(window.entries().length, 1000)
  t.is(window.anchor().seq, 1300)
  t.deepEqual(await trail.verify(), { kind: 'intact', vmId: 'c1', entries: 2300, head: window.head() })
  const all = await readAll(trail.page)
  t.deepEqual(verifyChain(GENESIS, all), window.head())
  const again = await openAuditArchive(dir, log)
  t.deepEqual(again.last(), window.head())
  t.is((await readdir(dir)).length, 3)
})

// Guards against a changed archive file that goes unnoticed because only the entries in memory are checked.
test('a changed archive file is found', async (t) => {
  const dir = await createFolder(t)
  const { trail } = await createTrail(dir, 1500)
  const file = join(dir, 'audit-000000000001.jsonl')
  const text = await readFile(file, 'utf8')
  await writeFile(file, text.replace('"edit-20"', '"edit-99"'))
  const report = await trail.verify()
  t.like(report, { kind: 'broken', seq: 21 })
})

// Guards against a crash in the middle of a line that makes the archive unusable or leaves a hole.
test('a torn line is cut off and written again', async (t) => {
  const dir = await createFolder(t)
  const { window, archive } = await createTrail(dir, 3)
  await appendFile(join(dir, 'audit-000000000001.jsonl'), '{"seq":4,"wal')
  const again = await openAuditArchive(dir, log)
  t.deepEqual(again.last(), archive.last())
  again.offer(window.append(content(3)))
  await again.close()
  t.deepEqual(verifyChain(GENESIS, await again.read(0, 10)), window.head())
})

// Guards against a control VM that lost its disk and then has no old audit entries any more.
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
  const filler = runArchiveBackfill({ archive, headSeq, sources, clock, log, signal: stop.signal })
  while (archive.last().seq < 1700) await new Promise((resolve) => setImmediate(resolve))
  stop.abort()
  await filler
  t.deepEqual(verifyChain(GENESIS, await readAll(archive.read)), source.window.head())
})

// Guards against entries that are lost to the archive when a failing disk makes more of them wait than are held.
test('entries beyond those held for the disk are written later from memory', async (t) => {
  const archive = await openAuditArchive(await createFolder(t), log)
  const window = createAuditWindow()
  for (let i = 0; i < 2100; i++) archive.offer(window.append(content(i)))
  await archive.close()
  t.is(archive.last().seq, 2000)
  const machine = { auditAnchor: window.anchor, auditEntries: window.entries, auditHead: window.head }
  const { page } = createAuditTrail({ vmId: 'c1', machine, archive })
  const stop = new AbortController()
  const headSeq = () => window.head().seq
  const filler = runArchiveBackfill({ archive, headSeq, sources: [{ vmId: 'c1', page }], clock: createFakeClock(), log, signal: stop.signal })
  while (archive.last().seq < 2100) await new Promise((resolve) => setImmediate(resolve))
  stop.abort()
  await filler
  t.deepEqual(archive.last(), window.head())
})
