import type { Clock, ProposeError, Random, StateMachine } from '@orioleslip/core'
import type { Result } from 'neverthrow'
import type { Configuration, LogEntry } from '../storage/entry.js'
import type { StorageError } from '../storage/errors.js'
import type { Store } from '../storage/store.js'
import type { ForwardReply, RefusedReply, ReplicationMessage, ReplicationReply, ReplicationTransport, RequestBody } from './messages.js'
import { within, type Lock, type Notifier } from './notifier.js'
import type { ReplicationSettings } from './settings.js'

/** Receives log lines; pino's logger fits. */
export type ReplicationLogger = Record<'info' | 'warn' | 'error', (fields: object, message: string) => void>

/** Which VMs may be members. */
export type MembershipRule =
  /** Those of the settings. */
  | { kind: 'listed' }
  /** Any VM that asks, up to `voters` of them; further ones wait as learners and replace voters that are out of contact. */
  | { kind: 'open', voters: number }

/** A control VM of the settings; `address` is that of its API, as shown to clients. */
export type ReplicationPeer = { vmId: string, address: string }

/** An entry that waits to be written by the leader, and the caller that waits for its result. */
export type Proposal = {
  body: LogEntry['body']
  /** The caller has given up; the entry must not be written any more. */
  cancelled: boolean
  resolve: (res: Result<unknown, ProposeError>) => void
}

/** What the leader knows about a member. */
export type Progress = {
  vmId: string
  storageId: string
  nextIndex: number
  /** Entries up to this index are on the member's disk. */
  matchIndex: number
  /** When the latest answered message was sent; contact counts from then. */
  contactMs: number
}

/** State of a leader during its term. */
export type Leadership = {
  term: number
  startedMs: number
  /** Index of the first entry of the term; 0 until it is written. */
  firstIndex: number
  /** Start of the write that is under way. */
  writingSinceMs: number
  progress: Map<string, Progress>
  proposals: Proposal[]
  /** Written entries whose callers wait, by index. */
  waiting: Map<number, Proposal>
  joins: Map<string, string>
  /** Wakes the writer: proposals were added. */
  queued: Notifier
  /** Wakes the replicators: entries were written. */
  written: Notifier
  ended: boolean
}

/** State of one replica, shared by the modules of this folder. */
export type Replica = {
  readonly group: string
  readonly self: { vmId: string, storageId: string }
  readonly peers: ReplicationPeer[]
  readonly membership: MembershipRule
  readonly settings: ReplicationSettings
  readonly clock: Clock
  readonly random: Random
  readonly logger: ReplicationLogger
  readonly transport: ReplicationTransport
  readonly store: Store
  readonly machine: StateMachine<unknown, unknown, unknown>
  /** Serializes everything that writes the log or the hard state. */
  readonly lock: Lock
  /** The commit index, the role or the known leader changed. */
  readonly changed: Notifier
  readonly listeners: Set<(index: number) => void>
  /** Forwarded proposals by request id, so that a message that arrives twice has one effect; undefined once answered. */
  readonly forwards: Map<string, Promise<ForwardReply> | undefined>
  /** Terms in which this process was the leader. */
  readonly ledTerms: Set<number>
  role: 'follower' | 'candidate' | 'leader'
  term: number
  vote: string | null
  leaderVmId: string | undefined
  /** Last message from a leader, or the start of this process: it may have promised a lease before it restarted. */
  leaderContactMs: number
  /** No election before this time, because of a full disk. */
  pausedUntilMs: number
  commitIndex: number
  lastApplied: number
  /** Latest configuration in the log, committed or not. */
  config: Configuration | undefined
  configIndex: number
  /** Configuration at `lastApplied`. */
  appliedConfig: Configuration | undefined
  leadership: Leadership | undefined
  initiating: boolean
  /** The write of a snapshot that is under way. */
  savingSnapshot: Promise<void> | undefined
  incoming: { key: string, pieces: Buffer[], bytes: number } | undefined
  /** A fault of the replication itself, after which this replica stops taking part. */
  fault: string | undefined
  closed: boolean
}

/** Term of an entry; undefined when the entry is unknown or compacted. */
export function termAt (replica: Replica, index: number): number | undefined {
  if (index === 0) return 0
  const snapshot = replica.store.snapshot()
  return replica.store.log.entry(index)?.term ?? (snapshot?.lastIndex === index ? snapshot.lastTerm : undefined)
}

/** Index and term of the last entry. */
export function lastEntry (replica: Replica): { lastIndex: number, lastTerm: number } {
  const lastIndex = replica.store.log.lastIndex()
  return { lastIndex, lastTerm: termAt(replica, lastIndex) ?? 0 }
}

/** Finds the latest configuration after the log has changed. */
export function refreshConfiguration (replica: Replica) {
  const { log } = replica.store
  for (let index = log.lastIndex(); index >= log.firstIndex(); index--) {
    const body = log.entry(index)?.body
    if (body?.kind !== 'config') continue
    replica.config = body.config
    replica.configIndex = index
    return
  }
  const snapshot = replica.store.snapshot()
  replica.config = snapshot?.config
  replica.configIndex = snapshot?.lastIndex ?? 0
}

/** This replica's entry in the latest configuration. */
export const ownMember = (replica: Replica) => replica.config?.members.find((member) => member.storageId === replica.self.storageId)

/** Why this replica can't write, or undefined. */
export const failureOf = (replica: Replica): string | undefined => replica.fault ?? replica.store.failure()?.message

/** Takes a fault of the storage into account. */
export function noteStorageError (replica: Replica, error: StorageError) {
  replica.logger.error({ event: 'storage-fault', group: replica.group, file: error.file }, error.message)
  if (error.kind === 'full') replica.pausedUntilMs = replica.clock.nowMs() + replica.settings.fullDiskPauseMs
}

/** Writes term and vote if they changed; false when that failed. Needs the lock. */
export async function saveTerm (replica: Replica): Promise<boolean> {
  const saved = replica.store.hardState()
  const { term, vote } = replica
  if (saved.term === term && saved.vote === vote) return true
  const written = await replica.store.saveHardState({ term, vote })
  if (written.isErr()) noteStorageError(replica, written.error)
  return written.isOk()
}

/** Sends a message; undefined when there is no reply in time. */
export async function request (replica: Replica, vmId: string, body: RequestBody, to?: string, timeoutMs = replica.settings.rpcTimeoutMs) {
  const message: ReplicationMessage = {
    group: replica.group,
    ...(replica.config === undefined ? {} : { groupId: replica.config.groupId }),
    from: replica.self,
    ...(to === undefined ? {} : { to }),
    body
  }
  const { transport, clock } = replica
  return await within<ReplicationReply>(clock, timeoutMs, (async () => await transport.send(vmId, message))())
}

/** Builds the reply to a message that is not processed. */
export function refusedReply (replica: Replica, reason: RefusedReply['reason'], message: string): RefusedReply {
  return { kind: 'refused', reason, storageId: replica.self.storageId, message }
}
