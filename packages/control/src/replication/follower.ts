import { applyCommitted } from './apply.js'
import type { AppendReply, AppendRequest, RefusedReply, ReplicationReply, SnapshotReply, SnapshotRequest } from './messages.js'
import { failureOf, handleStorageError, refusedReply, refreshConfiguration, saveTerm, termAt, type Replica } from './replica.js'
import { adoptTerm } from './roles.js'

/** Follows the sender if its term is current; false when the term is outdated or could not be saved. */
async function followLeader (replica: Replica, vmId: string, term: number): Promise<boolean> {
  if (term < replica.term || (term === replica.term && replica.leadership !== undefined)) return false
  adoptTerm(replica, term)
  if (!await saveTerm(replica)) return false
  if (replica.term !== term) return false
  replica.role = 'follower'
  replica.leaderContactMs = replica.clock.nowMs()
  if (replica.leaderVmId !== vmId) {
    replica.leaderVmId = vmId
    replica.stateChanged.notify()
  }
  return true
}

/**
 * Records contact with the leader that this replica already follows. It needs no lock, as it writes nothing: a vote granted earlier has
 * raised the term, so the heartbeat does not count as contact, and a vote requested later is denied.
 */
export function handleHeartbeat (replica: Replica, vmId: string, term: number): ReplicationReply {
  const failure = failureOf(replica)
  if (failure !== undefined) return refusedReply(replica, 'failed', failure)
  const isFollowing = term === replica.term && replica.role === 'follower' && replica.leaderVmId === vmId
  if (isFollowing) replica.leaderContactMs = replica.clock.nowMs()
  else if (term === replica.term) return refusedReply(replica, 'failed', 'this replica does not follow the sender yet')
  return { kind: 'heartbeat', term: replica.term }
}

/** Writes entries from the leader; they are on disk before they are acknowledged. The caller must hold the lock. */
export async function handleAppend (replica: Replica, vmId: string, req: AppendRequest): Promise<AppendReply | RefusedReply> {
  const { log } = replica.store
  const refuse = (nextIndex: number): AppendReply => ({ kind: 'append', ok: false, term: replica.term, nextIndex })
  if (!await followLeader(replica, vmId, req.term)) return refuse(log.lastIndex() + 1)

  if (req.prevIndex > log.lastIndex()) return refuse(log.lastIndex() + 1)
  // Entries that are committed here match the leader's log, also where they are compacted.
  if (req.prevIndex > replica.commitIndex && termAt(replica, req.prevIndex) !== req.prevTerm) {
    return refuse(startOfTerm(replica, req.prevIndex))
  }

  if (req.entries.some(({ index, term }) => index <= replica.commitIndex && (termAt(replica, index) ?? term) !== term)) {
    replica.fault = `the leader ${vmId} sent an entry that differs from a committed one; report this fault with the data folders`
    replica.logger.error({ event: 'replica-fault', group: replica.group, term: req.term, prevIndex: req.prevIndex }, replica.fault)
    return refusedReply(replica, 'failed', replica.fault)
  }
  const added = req.entries.filter(({ index, term }) => index > replica.commitIndex && termAt(replica, index) !== term)
  const first = added[0]
  if (first !== undefined) {
    const isWritten = await replaceFrom(replica, first.index, req.entries.filter(({ index }) => index >= first.index))
    if (!isWritten) return refusedReply(replica, 'failed', 'the entries could not be written')
  }
  const matchIndex = req.prevIndex + req.entries.length
  const commitIndex = Math.min(req.commitIndex, matchIndex)
  if (commitIndex > replica.commitIndex) {
    replica.commitIndex = commitIndex
    applyCommitted(replica)
  }
  // This replica may have replied to a newer leader during the write.
  if (replica.term !== req.term) return refuse(log.lastIndex() + 1)
  return { kind: 'append', ok: true, term: replica.term, matchIndex }
}

/** Removes entries that conflict with the leader's and writes the leader's. */
async function replaceFrom (replica: Replica, index: number, entries: AppendRequest['entries']): Promise<boolean> {
  const { log } = replica.store
  const hasConflict = index <= log.lastIndex()
  const truncated = hasConflict ? await log.truncateFrom(index) : undefined
  if (truncated?.isErr()) {
    handleStorageError(replica, truncated.error)
    return false
  }
  const written = await log.append(entries)
  if (written.isErr()) handleStorageError(replica, written.error)
  if (hasConflict || entries.some(({ body }) => body.kind === 'config')) refreshConfiguration(replica)
  return written.isOk()
}

/** First index of the conflicting term, from which the leader continues, so that it skips the whole term. */
function startOfTerm (replica: Replica, index: number): number {
  const term = termAt(replica, index)
  let start = index
  while (start - 1 > replica.commitIndex && termAt(replica, start - 1) === term) start--
  return start
}

/** Takes one chunk of a snapshot and installs the snapshot once it is complete. The caller must hold the lock. */
export async function handleSnapshot (replica: Replica, vmId: string, req: SnapshotRequest): Promise<SnapshotReply> {
  const buildReply = (nextOffset: number, installed = false): SnapshotReply =>
    ({ kind: 'snapshot', term: replica.term, nextOffset, installed })
  if (!await followLeader(replica, vmId, req.term)) return buildReply(req.offset)
  if (req.lastIndex <= replica.commitIndex) {
    replica.incomingSnapshot = undefined
    return buildReply(req.totalBytes, true)
  }
  const key = `${req.term}/${req.lastIndex}/${req.totalBytes}`
  if (replica.incomingSnapshot?.key !== key) replica.incomingSnapshot = { key, chunks: [], bytes: 0 }
  const { incomingSnapshot } = replica
  if (req.offset !== incomingSnapshot.bytes) return buildReply(incomingSnapshot.bytes)
  const chunk = Buffer.from(req.data, 'base64')
  incomingSnapshot.chunks.push(chunk)
  incomingSnapshot.bytes += chunk.length
  if (incomingSnapshot.bytes < req.totalBytes) return buildReply(incomingSnapshot.bytes)

  replica.incomingSnapshot = undefined
  const installed = await replica.store.installSnapshot(Buffer.concat(incomingSnapshot.chunks))
  if (installed.isErr()) {
    handleStorageError(replica, installed.error)
    return buildReply(req.offset)
  }
  const { lastIndex, config, state } = installed.value
  replica.machine.restore(state)
  replica.commitIndex = lastIndex
  replica.lastApplied = lastIndex
  replica.appliedConfig = config
  refreshConfiguration(replica)
  replica.stateChanged.notify()
  for (const listener of replica.listeners) listener(lastIndex)
  return buildReply(req.totalBytes, true)
}
