import { fnv1a } from '@orioleslip/core'
import type { Clock, Liveness, Member, MemberRecord } from '@orioleslip/core'
import { FORGET_FAILED_MS, FORGET_LEFT_MS, suspicionMs } from './timing.js'
import { contentHash } from './update.js'
import type { Update } from './update.js'

/** Number of buckets of the table digest; 770 members give about 12 per bucket, whose updates without records fit into one datagram. */
export const DIGEST_BUCKETS = 64

/** Result of merging an update. */
export type MergeResult =
  | 'applied'
  /** Already known, in the same state. */
  | 'same'
  | 'stale'
  /** The contents of the record are missing and must be requested. */
  | 'incomplete'
  /** The sender has declared a member failed that is alive here; the member must be probed before the update is applied. */
  | 'disputed'

type Entry = Member & { sinceMs: number, hash: number }

/** Member table, without the self record. */
export type MemberTable = {
  merge: (update: Update) => MergeResult
  get: (vmId: string) => Member | undefined
  /** Raises the liveness on evidence of this process, in the order of `RANK`; false when it had no effect. */
  raiseLiveness: (vmId: string, liveness: Liveness) => boolean
  /** Declares suspects failed whose time to refute has passed, and removes entries after their retention time. */
  expire: () => { failed: MemberRecord[], forgotten: MemberRecord[] }
  /** Extends the time that suspects have to refute, after this process itself did not run. */
  extendSuspicions: (ms: number) => void
  members: () => Member[]
  /** Update to send about a member, with its record when `full`; undefined when it is not in the table. */
  update: (vmId: string, full: boolean) => Update | undefined
}

const RANK: Record<Liveness, number> = { alive: 0, suspect: 1, failed: 2, left: 3 }

/** Builds the update for a record. */
export function updateOf (record: MemberRecord, liveness: Liveness, full: boolean, ageMs = 0, hash = contentHash(record)): Update {
  const { vmId, incarnation, version } = record
  const update = { vmId, incarnation, version, liveness, ageMs, hash }
  return full ? { ...update, record } : update
}

/** Index of a member's bucket in the table digest. */
export function bucketOf (vmId: string): number {
  return fnv1a(vmId) % DIGEST_BUCKETS
}

/** Digest of a table: per bucket the XOR of the entries' hashes. Suspects count as alive, because the state is short-lived. */
export function digestOf (members: Member[]): Uint8Array {
  const hashes = new Uint32Array(DIGEST_BUCKETS)
  for (const { record, liveness } of members) {
    const state = liveness === 'suspect' ? 'alive' : liveness
    const bucket = bucketOf(record.vmId)
    hashes[bucket] = (hashes[bucket] ?? 0) ^ fnv1a(`${record.vmId} ${record.incarnation} ${record.version} ${state}`)
  }
  return new Uint8Array(hashes.buffer)
}

/** Indexes of the buckets in which two digests differ; none when their lengths differ. */
export function differingBuckets (own: Uint8Array, other: Uint8Array): Set<number> {
  const differing = new Set<number>()
  if (other.length !== own.length) return differing
  for (let i = 0; i < own.length; i++) if (own[i] !== other[i]) differing.add(i >> 2)
  return differing
}

/** Creates an empty table. */
export function createMemberTable (clock: Clock): MemberTable {
  const entries = new Map<string, Entry>()
  const byAddress = new Map<string, string>()
  const addressKey = (record: MemberRecord) => `${record.host}:${record.gossipPort}`

  const setLiveness = (entry: Entry, liveness: Liveness, ageMs = 0) => {
    entry.liveness = liveness
    entry.sinceMs = clock.nowMs() - ageMs
  }

  // Two processes can't share an address, so the one that started later has replaced the other, which is declared failed.
  const assignAddress = (record: MemberRecord) => {
    const address = addressKey(record)
    const holder = entries.get(byAddress.get(address) ?? '')
    if (holder === undefined || holder.record.vmId === record.vmId || addressKey(holder.record) !== address) {
      byAddress.set(address, record.vmId)
      return
    }
    const newer = holder.record.incarnation <= record.incarnation
    if (newer) byAddress.set(address, record.vmId)
    const loser = newer ? holder : entries.get(record.vmId)
    if (loser !== undefined && RANK[loser.liveness] < RANK.failed) setLiveness(loser, 'failed')
  }

  const put = (record: MemberRecord, liveness: Liveness, ageMs: number, hash: number) => {
    entries.set(record.vmId, { record, liveness, sinceMs: clock.nowMs() - ageMs, hash })
    assignAddress(record)
  }

  const mergeLiveness = (entry: Entry, update: Update): MergeResult => {
    if (RANK[update.liveness] === RANK[entry.liveness]) return 'same'
    if (RANK[update.liveness] < RANK[entry.liveness]) return 'stale'
    if (update.liveness === 'failed' && entry.liveness === 'alive') return 'disputed'
    setLiveness(entry, update.liveness, update.liveness === 'suspect' ? 0 : update.ageMs)
    return 'applied'
  }

  const retentionMs = (liveness: Liveness) => {
    if (liveness === 'failed') return FORGET_FAILED_MS
    return liveness === 'left' ? FORGET_LEFT_MS : Infinity
  }

  return {
    merge: (update) => {
      const entry = entries.get(update.vmId)
      if (entry === undefined) {
        if (update.ageMs >= retentionMs(update.liveness)) return 'stale'
        if (update.record === undefined) return update.liveness === 'left' ? 'stale' : 'incomplete'
        put(update.record, update.liveness, update.ageMs, update.hash)
        return 'applied'
      }
      const known = entry.record
      if (update.incarnation < known.incarnation) return 'stale'
      if (update.incarnation === known.incarnation && update.version <= known.version) {
        return update.version < known.version && update.liveness === 'alive' ? 'stale' : mergeLiveness(entry, update)
      }
      const sameContents = update.hash === entry.hash
      const record = update.record ??
        (sameContents ? { ...known, incarnation: update.incarnation, version: update.version } : undefined)
      if (record === undefined) return 'incomplete'
      if (update.incarnation === known.incarnation) {
        // A newer version within the same incarnation is no evidence that the member is alive.
        entry.record = record
        entry.hash = update.hash
        return mergeLiveness(entry, update) === 'disputed' ? 'disputed' : 'applied'
      }
      const isDisputed = update.liveness === 'failed' && entry.liveness === 'alive'
      put(record, isDisputed ? 'alive' : update.liveness, update.ageMs, update.hash)
      return isDisputed ? 'disputed' : 'applied'
    },
    get: (vmId) => entries.get(vmId),
    raiseLiveness: (vmId, liveness) => {
      const entry = entries.get(vmId)
      if (entry === undefined || RANK[liveness] <= RANK[entry.liveness]) return false
      setLiveness(entry, liveness)
      return true
    },
    expire: () => {
      const nowMs = clock.nowMs()
      const limitMs = suspicionMs(entries.size + 1)
      const failed: MemberRecord[] = []
      const forgotten: MemberRecord[] = []
      for (const [vmId, entry] of entries) {
        const ageMs = nowMs - entry.sinceMs
        if (entry.liveness === 'suspect' && ageMs >= limitMs) {
          setLiveness(entry, 'failed')
          failed.push(entry.record)
        } else if (ageMs >= retentionMs(entry.liveness)) {
          entries.delete(vmId)
          forgotten.push(entry.record)
          if (byAddress.get(addressKey(entry.record)) === vmId) byAddress.delete(addressKey(entry.record))
        }
      }
      return { failed, forgotten }
    },
    extendSuspicions: (ms) => {
      for (const entry of entries.values()) if (entry.liveness === 'suspect') entry.sinceMs += ms
    },
    members: () => [...entries.values()],
    update: (vmId, full) => {
      const entry = entries.get(vmId)
      return entry === undefined ? undefined : updateOf(entry.record, entry.liveness, full, clock.nowMs() - entry.sinceMs, entry.hash)
    }
  }
}
