import type { TrailingLimits } from '../storage/entry-buffer.js'

/** Limits and timeouts of a replicated log. */
export type ReplicationSettings = {
  /** Maximum interval between two messages from the leader to a peer. */
  heartbeatMs: number
  /** A follower starts an election after a random time between these bounds without a message from the leader. */
  electionMinMs: number
  electionMaxMs: number
  /** Time after its last contact with a quorum during which a leader is guaranteed to be the only one. */
  leaseMs: number
  /** Maximum wait for the reply to one message. */
  rpcTimeoutMs: number
  /** Maximum wait for a proposal to be committed. */
  proposeTimeoutMs: number
  /** Maximum wait of a follower until it has applied the read index. */
  readTimeoutMs: number
  /** A voter without contact for this long is replaced if a learner is waiting. */
  replaceAfterMs: number
  /** Interval between attempts to join the group. */
  joinRetryMs: number
  /** Maximum wait of a damaged replica for a leader before its start fails. */
  repairWaitMs: number
  /** Time during which a replica starts no elections and takes no snapshots after its disk was full. */
  fullDiskPauseMs: number
  /** Maximum bytes of entries in one message or one write. */
  batchBytes: number
  /** Maximum number of proposals in one write. */
  batchEntries: number
  /** Maximum number and encoded size of the proposals that wait for a write. */
  queueEntries: number
  queueBytes: number
  /** Maximum size of a command: encoded, decoded in the heap, and as the JSON of a message. */
  commandBytes: number
  commandHeapBytes: number
  commandJsonBytes: number
  /** Size of the chunks in which a snapshot is sent to a peer. */
  chunkBytes: number
  /** A snapshot is taken after this many entries or bytes. */
  snapshotEntries: number
  snapshotBytes: number
  /** Size of the entries that no snapshot covers above which commands are refused, because snapshots fail or nothing is committed. */
  logBytes: number
  /** Maximum number and encoded size of the entries kept although a snapshot covers them, so that a peer that lags a little needs none. */
  trailingEntries: number
  trailingBytes: number
  /** Size at which a new segment file is started. */
  segmentBytes: number
}

/**
 * Defaults for a one-way delay of 20 ms between regions. A round trip and a sync take about 50 ms, so a lease of 500 ms survives the
 * loss of one message (250 ms until the timeout, 150 ms between heartbeats). The lease ends 100 ms before a vote is possible, which
 * allows for clocks that differ by 16% in speed.
 */
export const defaultReplicationSettings: ReplicationSettings = {
  heartbeatMs: 150,
  electionMinMs: 600,
  electionMaxMs: 1200,
  leaseMs: 500,
  rpcTimeoutMs: 250,
  proposeTimeoutMs: 3000,
  readTimeoutMs: 1000,
  replaceAfterMs: 1500,
  joinRetryMs: 1000,
  repairWaitMs: 15_000,
  fullDiskPauseMs: 2000,
  batchBytes: 1024 * 1024,
  batchEntries: 512,
  queueEntries: 8192,
  queueBytes: 8 * 1024 * 1024,
  commandBytes: 4 * 1024 * 1024,
  commandHeapBytes: 16 * 1024 * 1024,
  // Leaves room for the rest of a message below the limit of the control API.
  commandJsonBytes: 6 * 1024 * 1024,
  chunkBytes: 256 * 1024,
  snapshotEntries: 2000,
  snapshotBytes: 16 * 1024 * 1024,
  logBytes: 64 * 1024 * 1024,
  trailingEntries: 500,
  trailingBytes: 4 * 1024 * 1024,
  segmentBytes: 4 * 1024 * 1024
}

/** Limits of the entries kept although a snapshot covers them. */
export const trailingLimits = ({ trailingEntries, trailingBytes }: ReplicationSettings): TrailingLimits =>
  ({ entries: trailingEntries, bytes: trailingBytes })
