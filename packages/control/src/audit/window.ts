import { chainEntry, GENESIS, type AuditAnchor, type AuditContent, type AuditEntry } from './chain.js'

/** Latest part of the audit trail, as kept in snapshots. */
export type AuditWindowState = { anchor: AuditAnchor, entries: AuditEntry[] }

/** The latest entries of the audit trail, in memory. */
export type AuditWindow = {
  append: (content: AuditContent) => AuditEntry
  /** Position of the last entry before the window; this entry and older ones are in the archive files. */
  anchor: () => AuditAnchor
  /** Position of the last entry. */
  head: () => AuditAnchor
  entries: () => readonly AuditEntry[]
  snapshot: () => AuditWindowState
  restore: (state: AuditWindowState) => void
}

// 1000 entries cover about two days at the design figure of 570 changes a day.
const MAX_ENTRIES = 1000
const MAX_BYTES = 2 * 1024 * 1024
// Kept regardless of size, so that a snapshot always contains entries that the archive may not have synced yet.
const MIN_ENTRIES = 8

/** Creates the bounded in-memory part of the audit trail. Eviction depends only on the entries, so replicas agree. */
export function createAuditWindow (): AuditWindow {
  let anchor = GENESIS
  let entries: AuditEntry[] = []
  let sizes: number[] = []
  let totalBytes = 0

  const sizeOf = (entry: AuditEntry) => Buffer.byteLength(JSON.stringify(entry))

  function evict (): void {
    while (entries.length > MIN_ENTRIES && (entries.length > MAX_ENTRIES || totalBytes > MAX_BYTES)) {
      const entry = entries.shift()!
      totalBytes -= sizes.shift()!
      anchor = { seq: entry.seq, hash: entry.hash }
    }
  }

  function head (): AuditAnchor {
    const last = entries.at(-1)
    return last === undefined ? anchor : { seq: last.seq, hash: last.hash }
  }

  return {
    append: (content) => {
      const entry = chainEntry(head(), content)
      const size = sizeOf(entry)
      entries.push(entry)
      sizes.push(size)
      totalBytes += size
      evict()
      return entry
    },
    anchor: () => anchor,
    head,
    entries: () => entries,
    snapshot: () => ({ anchor, entries: [...entries] }),
    restore: (state) => {
      anchor = state.anchor
      entries = [...state.entries]
      sizes = entries.map(sizeOf)
      totalBytes = sizes.reduce((sum, size) => sum + size, 0)
    }
  }
}
