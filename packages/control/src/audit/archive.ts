import { mkdir, open, readdir, readFile, truncate } from 'node:fs/promises'
import { join } from 'node:path'
import type { Logger } from 'pino'
import { GENESIS, verifyChain, type AuditAnchor, type AuditEntry } from './chain.js'

/** Append-only files with the whole audit trail of one control VM, one JSON line per entry. */
export type AuditArchive = {
  /** Queues an entry for writing, in order of sequence; entries that are already stored are ignored. */
  offer: (entry: AuditEntry) => void
  /** Stored entries after a sequence number, oldest first; at most `limit`, and fewer where entries are missing. */
  read: (afterSeq: number, limit: number) => Promise<AuditEntry[]>
  /** Position of the last entry up to which the archive is complete. */
  last: () => AuditAnchor
  /** Sequence number of the first entry after a gap in the archive, given that of the trail's last entry; undefined without a gap. */
  firstSeqAfterGap: (headSeq: number) => number | undefined
  /** Adds missing entries fetched from another control VM; false when they don't fit the chain. */
  backfill: (entries: AuditEntry[]) => Promise<boolean>
  /** Waits until the queued writes are done. */
  close: () => Promise<void>
}

// 1000 entries of about 1 KB each, so that reading a page of the trail takes one or two files.
const ENTRIES_PER_FILE = 1000
// Limit of the entries that wait for the disk or for missing entries before them; the archive backfill fetches those beyond it.
const MAX_PENDING = 2000
const FILE_PATTERN = /^audit-(\d{12})\.jsonl$/

/**
 * Opens the archive in a folder. It is derived from the replicated trail, so a torn or damaged end is truncated and fetched again
 * from the window in the state machine or from another control VM.
 */
export async function openAuditArchive (dir: string, log: Logger): Promise<AuditArchive> {
  await mkdir(dir, { recursive: true })
  let files = (await readdir(dir)).flatMap((name) => FILE_PATTERN.exec(name)?.[1] ?? []).map(Number).sort((a, b) => a - b)
  const fileOf = (firstSeq: number) => join(dir, `audit-${String(firstSeq).padStart(12, '0')}.jsonl`)
  const pending = new Map<number, AuditEntry>()
  let last = GENESIS
  let queue: Promise<void> = Promise.resolve()
  let queuedWrites = 0

  /** Entries of a file up to the first line that can't be parsed, and the length of that part in bytes. */
  async function readFileEntries (firstSeq: number): Promise<{ entries: AuditEntry[], validBytes: number, bytes: number }> {
    const text = await readFile(fileOf(firstSeq), 'utf8')
    const entries: AuditEntry[] = []
    let validBytes = 0
    for (const line of text.split('\n').slice(0, -1)) {
      try {
        entries.push(JSON.parse(line) as AuditEntry)
      } catch {
        break
      }
      validBytes += Buffer.byteLength(line) + 1
    }
    return { entries, validBytes, bytes: Buffer.byteLength(text) }
  }

  async function recover (): Promise<void> {
    const firstSeq = files.at(-1)
    if (firstSeq === undefined) return
    const { entries, validBytes, bytes } = await readFileEntries(firstSeq)
    if (validBytes < bytes) {
      log.warn({ file: fileOf(firstSeq), offset: validBytes }, 'The audit archive ends in an incomplete line, which is removed; its entry is written again')
      await truncate(fileOf(firstSeq), validBytes)
    }
    const entry = entries.at(-1)
    if (entry !== undefined) last = { seq: entry.seq, hash: entry.hash }
    else if (firstSeq > 1) {
      const previous = await readFileEntries(files.at(-2) ?? 0)
      const end = previous.entries.at(-1)
      if (end !== undefined) last = { seq: end.seq, hash: end.hash }
    }
  }

  async function write (entries: AuditEntry[]): Promise<void> {
    let rest = entries
    while (rest.length > 0) {
      if (files.length === 0 || rest[0]!.seq - files.at(-1)! >= ENTRIES_PER_FILE) files = [...files, rest[0]!.seq]
      const firstSeq = files.at(-1)!
      const batch = rest.filter((entry) => entry.seq - firstSeq < ENTRIES_PER_FILE)
      const file = await open(fileOf(firstSeq), 'a')
      try {
        await file.writeFile(batch.map((entry) => JSON.stringify(entry) + '\n').join(''))
        await file.datasync()
      } finally {
        await file.close()
      }
      const { seq, hash } = batch.at(-1)!
      last = { seq, hash }
      rest = rest.slice(batch.length)
    }
  }

  async function writePending (): Promise<void> {
    for (;;) {
      const ready: AuditEntry[] = []
      for (let seq = last.seq + 1; pending.has(seq); seq++) ready.push(pending.get(seq)!)
      if (ready.length === 0) break
      await write(ready)
      for (const entry of ready) pending.delete(entry.seq)
    }
    for (const seq of pending.keys()) if (seq <= last.seq) pending.delete(seq)
  }

  /** Queues a write of the pending entries; a queued write includes all entries offered before it starts. */
  function schedule (): Promise<void> {
    queuedWrites++
    queue = queue.then(writePending).catch((err: unknown) => {
      log.error({ err, dir }, 'Cannot write the audit archive; check the disk. Entries stay in memory and are written with the next entry')
    }).finally(() => { queuedWrites-- })
    return queue
  }

  await recover()
  return {
    offer: (entry) => {
      if (entry.seq <= last.seq || pending.size >= MAX_PENDING) return
      pending.set(entry.seq, entry)
      if (queuedWrites < 2) schedule()
    },
    read: async (afterSeq, limit) => {
      const found: AuditEntry[] = []
      const start = files.filter((firstSeq) => firstSeq <= afterSeq + 1).length - 1
      for (const firstSeq of start < 0 ? [] : files.slice(start)) {
        if (found.length >= limit) break
        const { entries } = await readFileEntries(firstSeq)
        found.push(...entries.filter((entry) => entry.seq > afterSeq))
      }
      return found.slice(0, limit)
    },
    last: () => last,
    firstSeqAfterGap: (headSeq) => {
      if (last.seq >= headSeq || pending.has(last.seq + 1)) return undefined
      let first = headSeq + 1
      for (const seq of pending.keys()) if (seq > last.seq) first = Math.min(first, seq)
      return first
    },
    backfill: async (entries) => {
      const fresh = entries.filter((entry) => entry.seq > last.seq)
      if ('kind' in verifyChain(last, fresh)) return false
      for (const entry of fresh) pending.set(entry.seq, entry)
      await schedule()
      return true
    },
    close: async () => {
      await queue
    }
  }
}
