/** Limits and times of a replicated log. */
export type ReplicationSettings = {
  /** Longest time between two messages from the leader to a peer. */
  heartbeatMs: number
  /** A follower stands for election this long after the last message from the leader, drawn between the two bounds. */
  electionMinMs: number
  electionMaxMs: number
  /** A leader is sure to be the only one for this long after its last contact with a quorum. */
  leaseMs: number
  /** Longest wait for the reply to one message. */
  rpcTimeoutMs: number
  /** Longest wait for a proposal to be committed. */
  proposeTimeoutMs: number
  /** Longest wait of a follower until it has applied the read index. */
  readTimeoutMs: number
  /** A voter without contact for this long is replaced, where a learner waits for its place. */
  replaceAfterMs: number
  /** Time between two tries to join the group. */
  joinRetryMs: number
  /** Longest wait of a damaged replica for a leader, before its start fails. */
  repairWaitMs: number
  /** A replica with a full disk does not stand for election for this long. */
  fullDiskPauseMs: number
  /** Most bytes of entries in one message. */
  batchBytes: number
  /** Most proposals in one write, and most that wait for a write. */
  batchEntries: number
  queueEntries: number
  commandBytes: number
  /** Size of the pieces of a snapshot on the way to a peer. */
  chunkBytes: number
  /** A snapshot is taken after this many entries or bytes. */
  snapshotEntries: number
  snapshotBytes: number
  /** Entries kept behind a snapshot, so that a peer that lags a little needs no snapshot. */
  trailingEntries: number
  segmentBytes: number
}

/**
 * Defaults for 20 ms one-way delay between regions. A round trip and a sync take about 50 ms, so a lease of 500 ms survives the loss
 * of one message (250 ms until it is noticed, 150 ms between heartbeats), and the lease ends 100 ms before a vote is possible,
 * which allows for clocks that differ by 16% in speed.
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
  fullDiskPauseMs: 10_000,
  batchBytes: 1024 * 1024,
  batchEntries: 512,
  queueEntries: 8192,
  commandBytes: 4 * 1024 * 1024,
  chunkBytes: 256 * 1024,
  snapshotEntries: 2000,
  snapshotBytes: 16 * 1024 * 1024,
  trailingEntries: 500,
  segmentBytes: 4 * 1024 * 1024
}
