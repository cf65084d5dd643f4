import { fnv1a } from '@orioleslip/core'
import type { Clock, Liveness, Member, MemberRecord } from '@orioleslip/core'
import { FORGET_FAILED_MS, FORGET_LEFT_MS, suspicionMs } from './timing.js'
import { contentHash } from './update.js'
import type { Update } from './update.js'

/** Buckets of the table digest; 770 members give about 12 per bucket, one datagram of summaries. */
export const DIGEST_BUCKETS = 64

/** What became of an update. */
export type MergeResult =
  | 'applied'
  /** Already known, in the same state. */
  | 'same'
  | 'stale'
  /** The contents of the record are missing here. */
  | 'want'
  /** Another member holds this one, alive here, as failed: it must be asked before the statement is believed. */
  | 'accused'

type Entry = Member & { sinceMs: number, hash: number }

/** Member table without this process's own record. */
export type MemberTable = {
  merge: (update: Update) => MergeResult
  get: (vmId: string) => Member | undefined
  /** Changes the liveness by own evidence; false when it had no effect. */
  judge: (vmId: string, liveness: Liveness) => boolean
  /** Fails suspects whose time is up and forgets old entries. */
  expire: () => { failed: MemberRecord[], forgotten: MemberRecord[] }
  /** Gives suspects more time to refute, after this process itself did not run. */
  extendSuspicions: (ms: number) => void
  members: () => Member[]
  /** Everything that is known about a member, for sending. */
  update: (vmId: string, full: boolean) => Update | undefined
}

const RANK: Record<Liveness, number> = { alive: 0, suspect: 1, failed: 2, left: 3 }

/** Makes the update that states a member's own record. */
export function updateOf (record: MemberRecord, liveness: Liveness, full: boolean, ageMs = 0, hash = contentHash(record)): Update {
  const { vmId, incarnation, version } = record
  const update = { vmId, incarnation, version, liveness, ageMs, hash }
  return full ? { ...update, record } : update
}

/** Bucket of a member in the table digest. */
export function bucketOf (vmId: string): number {
  return fnv1a(vmId) % DIGEST_BUCKETS
}

/** Digest of a table: per bucket the XOR of the entries' hashes. Suspicions pass quickly and count as alive. */
export function digestOf (members: Member[]): Uint8Array {
  const hashes = new Uint32Array(DIGEST_BUCKETS)
  for (const { record, liveness } of members) {
    const state = liveness === 'suspect' ? 'alive' : liveness
    const bucket = bucketOf(record.vmId)
    hashes[bucket] = (hashes[bucket] ?? 0) ^ fnv1a(`${record.vmId} ${record.incarnation} ${record.version} ${state}`)
  }
  return new Uint8Array(hashes.buffer)
}

/** Buckets in which two digests differ. */
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
  const addressOf = (record: MemberRecord) => `${record.host}:${record.gossipPort}`

  const setLiveness = (entry: Entry, liveness: Liveness, ageMs = 0) => {
    entry.liveness = liveness
    entry.sinceMs = clock.nowMs() - ageMs
  }

  // Two processes can't share an address: the one that started later has replaced the other.
  const claimAddress = (record: MemberRecord) => {
    const address = addressOf(record)
    const holder = entries.get(byAddress.get(address) ?? '')
    if (holder === undefined || holder.record.vmId === record.vmId || addressOf(holder.record) !== address) {
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
    claimAddress(record)
  }

  const raiseLiveness = (entry: Entry, update: Update): MergeResult => {
    if (RANK[update.liveness] === RANK[entry.liveness]) return 'same'
    if (RANK[update.liveness] < RANK[entry.liveness]) return 'stale'
    if (update.liveness === 'failed' && entry.liveness === 'alive') return 'accused'
    setLiveness(entry, update.liveness, update.liveness === 'suspect' ? 0 : update.ageMs)
    return 'applied'
  }

  const keepMs = (liveness: Liveness) => {
    if (liveness === 'failed') return FORGET_FAILED_MS
    return liveness === 'left' ? FORGET_LEFT_MS : Infinity
  }

  return {
    merge: (update) => {
      const entry = entries.get(update.vmId)
      if (entry === undefined) {
        if (update.ageMs >= keepMs(update.liveness)) return 'stale'
        if (update.record === undefined) return update.liveness === 'left' ? 'stale' : 'want'
        put(update.record, update.liveness, update.ageMs, update.hash)
        return 'applied'
      }
      const known = entry.record
      if (update.incarnation < known.incarnation) return 'stale'
      if (update.incarnation === known.incarnation && update.version <= known.version) {
        return update.version < known.version && update.liveness === 'alive' ? 'stale' : raiseLiveness(entry, update)
      }
      const sameContents = update.hash === entry.hash
      const record = update.record ??
        (sameContents ? { ...known, incarnation: update.incarnation, version: update.version } : undefined)
      if (record === undefined) return 'want'
      if (update.incarnation === known.incarnation) {
        // A newer version within one incarnation says nothing about liveness.
        entry.record = record
        entry.hash = update.hash
        return raiseLiveness(entry, update) === 'accused' ? 'accused' : 'applied'
      }
      const accused = update.liveness === 'failed' && entry.liveness === 'alive'
      put(record, accused ? 'alive' : update.liveness, update.ageMs, update.hash)
      return accused ? 'accused' : 'applied'
    },
    get: (vmId) => entries.get(vmId),
    judge: (vmId, liveness) => {
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
        } else if (ageMs >= keepMs(entry.liveness)) {
          entries.delete(vmId)
          forgotten.push(entry.record)
          if (byAddress.get(addressOf(entry.record)) === vmId) byAddress.delete(addressOf(entry.record))
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
