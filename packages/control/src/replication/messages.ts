import type { LogEntry } from '../storage/entry.js'

/**
 * What confirms that a read is current. `quorum`: replies of a quorum to messages that the leader sends after the read has arrived,
 * whatever the clocks say. `lease`: the lease of the leader, which needs no messages.
 */
export type ReadBasis = 'quorum' | 'lease'

/** A message between two replicas of a group. All fields are JSON-compatible. */
export type ReplicationMessage = {
  group: string
  /** Absent while the sender belongs to no group. */
  groupId?: string
  from: { vmId: string, storageId: string }
  /** Storage id of the receiver; a replica with another one refuses the message. Absent where any replica of the VM may reply. */
  to?: string
  body: RequestBody
}

export type VoteRequest = { kind: 'vote', pre: boolean, term: number, lastIndex: number, lastTerm: number }
export type AppendRequest = { kind: 'append', term: number, prevIndex: number, prevTerm: number, entries: LogEntry[], commitIndex: number }
export type SnapshotRequest = {
  kind: 'snapshot'
  term: number
  lastIndex: number
  offset: number
  totalBytes: number
  /** Base64, so that the message is JSON-compatible. */
  data: string
}

export type ForwardRequest = { kind: 'forward', requestId: string, term: number, cmd: unknown }

/** Keeps the lease while the receiver writes to its disk; the reply carries no information about its log. */
export type HeartbeatRequest = { kind: 'heartbeat', term: number }

export type RequestBody =
  | HeartbeatRequest
  | { kind: 'identify', /** The sender is creating a group. */ init: boolean }
  | VoteRequest
  | AppendRequest
  | SnapshotRequest
  | { kind: 'readIndex', basis: ReadBasis }
  /** `term` is the term in which the sender follows the receiver, so that a delayed copy has no effect in a later leadership. */
  | ForwardRequest
  | { kind: 'join' }

export type VoteReply = { kind: 'vote', term: number, granted: boolean }
export type AppendReply =
  | { kind: 'append', ok: true, term: number, matchIndex: number }
  /** `nextIndex` is the index at which the leader should continue. */
  | { kind: 'append', ok: false, term: number, nextIndex: number }
export type SnapshotReply = { kind: 'snapshot', term: number, nextOffset: number, installed: boolean }
export type IdentifyReply = { kind: 'identify', storageId: string, groupId?: string, initiating: boolean, hasLeader: boolean }
export type ForwardReply =
  | { kind: 'forward', status: 'ok', reply: unknown }
  | { kind: 'forward', status: 'notLeader' | 'outcomeUnknown' | 'refused', message: string }

/** The message was not processed. `storageId` is that of the replica that refused it. */
export type RefusedReply = { kind: 'refused', reason: 'identity' | 'group' | 'failed' | 'closed', storageId: string, message: string }

export type ReplicationReply =
  | { kind: 'heartbeat', term: number }
  | VoteReply
  | AppendReply
  | SnapshotReply
  | IdentifyReply
  | ForwardReply
  | { kind: 'readIndex', index?: number }
  /** `leader` is the VM id of the leader that the sender of the reply follows. */
  | { kind: 'join', accepted: boolean, leader?: string }
  | RefusedReply

/** Carries messages between control VMs. `send` rejects when there is no reply; a message may still have arrived, even several times. */
export type ReplicationTransport = {
  send: (vmId: string, message: ReplicationMessage) => Promise<ReplicationReply>
}
