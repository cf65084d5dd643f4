import type { Clock, ProposeError, Random, StateMachine } from '@orioleslip/core'
import type { Result } from 'neverthrow'
import type { Configuration, LogEntry } from '../storage/entry.js'
import type { StorageError } from '../storage/errors.js'
import type { Store } from '../storage/store.js'
import type { ForwardReply, RefusedReply, ReplicationMessage, ReplicationReply, ReplicationTransport, RequestBody } from './messages.js'
import { withTimeout, type Lock, type Notifier } from './synchronization.js'
import type { ReplicationSettings } from './settings.js'

/** Receives log lines; a pino logger can be passed. */
export type ReplicationLogger = Record<'info' | 'warn' | 'error', (fields: object, message: string) => void>

/** Which VMs may be members. */
export type MembershipRule =
  /** Only the control VMs of the settings. */
  | { kind: 'listed' }
  /** Any VM that requests to join, up to `voters` of them; further ones wait as learners and replace voters that are out of contact. */
  | { kind: 'open', voters: number }

/** A control VM of the settings; `address` is that of its API, as shown to clients. */
export type ReplicationPeer = { vmId: string, address: string }

/** An entry that waits to be written by the leader, and the caller that waits for its result. */
export type Proposal = {
  body: LogEntry['body']
  /** Encoded size of the command. */
  bytes: number
  /** The caller has given up; the entry must not be written any more. */
  cancelled: boolean
  resolve: (res: Result<unknown, ProposeError>) => void
}

/** Replication state of a member, kept by the leader. */
export type Progress = {
  vmId: string
  storageId: string
  nextIndex: number
  /** Entries up to this index are on the member's disk. */
  matchIndex: number
  /** When the latest message with a reply was sent; the lease is measured from the sending, not from the reply. */
  contactMs: number
  /** The same on the wall clock, which also counts the time for which this VM was suspended. */
  contactWallMs: number
  /** The latest round of reads before which that message was sent. */
  confirmedRound: number
}

/** State of a leader during its term. */
export type Leadership = {
  term: number
  startedMs: number
  /** Index of the first entry of the term; 0 until it is written. */
  firstIndex: number
  /** Start of the write in progress; Infinity without one. */
  writingSinceMs: number
  progress: Map<string, Progress>
  queuedProposals: Proposal[]
  /** Encoded size of these proposals. */
  queuedBytes: number
  /** Proposals whose entries are written but not yet applied, by index. */
  awaitingCommit: Map<number, Proposal>
  /** Verified storage ids of the VMs that requested to join, by VM id. */
  joins: Map<string, string>
  /** Wakes the writer when proposals were queued. */
  proposalQueued: Notifier
  /** Rounds of messages that reads have asked for, to confirm that no other leader was elected before them. */
  readRound: number
  /** Wakes the replicators when entries were written or a read needs a round of messages. */
  sendDue: Notifier
  /** Wakes the reads that wait for their round when a member replied. */
  memberReplied: Notifier
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
  /** Notified when the commit index, the role or the known leader changes. */
  readonly stateChanged: Notifier
  readonly listeners: Set<(index: number) => void>
  /** Replies to forwarded proposals by request id, so that a duplicated message has one effect; undefined once a reply was returned. */
  readonly forwardReplies: Map<string, Promise<ForwardReply> | undefined>
  /** Terms in which this process was the leader. */
  readonly ledTerms: Set<number>
  role: 'follower' | 'candidate' | 'leader'
  term: number
  vote: string | null
  leaderVmId: string | undefined
  /** Time of the last message from a leader, at first the start of this process: it may have confirmed a lease before it restarted. */
  leaderContactMs: number
  /** No elections or snapshots before this time, because the disk was full. */
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
  /** Snapshot write in progress. */
  savingSnapshot: Promise<void> | undefined
  /** Chunks received so far of a snapshot from the leader. */
  incomingSnapshot: { key: string, chunks: Buffer[], bytes: number } | undefined
  /** An internal error of the replication, after which this replica stops participating. */
  fault: string | undefined
  closed: boolean
}

/** Term of an entry; undefined when the entry is unknown or compacted. */
export function termAt (replica: Replica, index: number): number | undefined {
  if (index === 0) return 0
  const snapshot = replica.store.snapshot()
  return replica.store.log.term(index) ?? (snapshot?.lastIndex === index ? snapshot.lastTerm : undefined)
}

/** Index and term of the last entry. */
export function lastEntry (replica: Replica): { lastIndex: number, lastTerm: number } {
  const lastIndex = replica.store.log.lastIndex()
  return { lastIndex, lastTerm: termAt(replica, lastIndex) ?? 0 }
}

/** Finds the latest configuration after the log has changed. */
export function refreshConfiguration (replica: Replica) {
  const { log, snapshot } = replica.store
  const latest = log.latestConfig()
  replica.config = latest?.config ?? snapshot()?.config
  replica.configIndex = latest?.index ?? snapshot()?.lastIndex ?? 0
}

/** This replica's entry in the latest configuration. */
export const ownMember = (replica: Replica) => replica.config?.members.find((member) => member.storageId === replica.self.storageId)

/** Why this replica can't write, or undefined. */
export const failureOf = (replica: Replica): string | undefined => replica.fault ?? replica.store.failure()?.message

/** Logs a storage error; after a full disk it also pauses elections and snapshots. */
export function handleStorageError (replica: Replica, error: StorageError) {
  replica.logger.error({ event: 'storage-fault', group: replica.group, file: error.file }, error.message)
  if (error.kind === 'full') replica.pausedUntilMs = replica.clock.nowMs() + replica.settings.fullDiskPauseMs
}

/** Writes term and vote if they changed; false when that failed. The caller must hold the lock. */
export async function saveTerm (replica: Replica): Promise<boolean> {
  const saved = replica.store.hardState()
  const { term, vote } = replica
  if (saved.term === term && saved.vote === vote) return true
  const written = await replica.store.saveHardState({ term, vote })
  if (written.isErr()) handleStorageError(replica, written.error)
  return written.isOk()
}

/** Sends a request and returns the reply; undefined when none arrives in time. */
export async function sendRequest (
  replica: Replica, vmId: string, body: RequestBody, to?: string, timeoutMs = replica.settings.rpcTimeoutMs) {
  const message: ReplicationMessage = {
    group: replica.group,
    ...(replica.config === undefined ? {} : { groupId: replica.config.groupId }),
    from: replica.self,
    ...(to === undefined ? {} : { to }),
    body
  }
  const { transport, clock } = replica
  return await withTimeout<ReplicationReply>(clock, timeoutMs, (async () => await transport.send(vmId, message))())
}

/** Builds the reply to a message that is not processed. */
export function refusedReply (replica: Replica, reason: RefusedReply['reason'], message: string): RefusedReply {
  return { kind: 'refused', reason, storageId: replica.self.storageId, message }
}
