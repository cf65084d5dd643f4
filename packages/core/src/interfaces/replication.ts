import type { ResultAsync } from 'neverthrow'

/** Deterministic state machine of a replicated log; time and random values are passed to it only in commands. */
export type StateMachine<Command, Reply, State> = {
  apply: (index: number, cmd: Command) => Reply
  /** JSON-compatible copy of the state. */
  snapshot: () => State
  restore: (state: State) => void
}

export type ProposeError =
  /** This replica isn't the leader; `leader` is the API address of the leader, if known. Nothing was appended. */
  | { kind: 'notLeader', leader?: string, message: string }
  /** The command was appended but the quorum did not acknowledge it in time; it may still be applied. */
  | { kind: 'outcomeUnknown', message: string }
  /** The command exceeds a limit and would be refused by every replica at any time. */
  | { kind: 'tooLarge', message: string }
  /** The command was refused before it was appended (storage failed, too many wait, stopping). */
  | { kind: 'refused', message: string }

export type NotCurrent = { kind: 'notCurrent', leader?: string, message: string }

export type ReplicaStatus = {
  group: string
  vmId: string
  storageId: string
  role: 'leader' | 'follower' | 'candidate' | 'learner' | 'outsider' | 'failed'
  term: number
  leader?: string
  commitIndex: number
  lastIndex: number
  /** Encoded size of the entries kept in memory and in log files. */
  logBytes: number
  members: Array<{ vmId: string, storageId: string, voter: boolean, matchIndex?: number }>
  /** Remaining time of the leader lease in ms; 0 on other replicas. */
  leaseMs: number
}

/** A replicated log with its state machine. */
export type ReplicatedLog<Command, Reply> = {
  propose: (cmd: Command) => ResultAsync<Reply, ProposeError>
  /** Ok when this replica has applied every command accepted before the call, confirmed by a quorum and independent of clocks. */
  confirmCurrent: () => ResultAsync<void, NotCurrent>
  /** As `confirmCurrent`, but relies on the lease of the leader, for reads that are too frequent for a round of messages. */
  confirmLeased: () => ResultAsync<void, NotCurrent>
  status: () => ReplicaStatus
  /** Calls back after each applied command. */
  onApplied: (listener: (index: number) => void) => () => void
  close: () => Promise<void>
}
