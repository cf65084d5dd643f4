import { applyCommitted } from './apply.js'
import type { AppendReply, AppendRequest, RefusedReply, ReplicationReply, SnapshotReply, SnapshotRequest } from './messages.js'
import { failureOf, noteStorageError, refusedReply, refreshConfiguration, saveTerm, termAt, type Replica } from './replica.js'
import { adoptTerm } from './roles.js'

/** Follows the sender if its term is current; false when it is outdated or the term could not be saved. */
async function follow (replica: Replica, vmId: string, term: number): Promise<boolean> {
  if (term < replica.term || (term === replica.term && replica.leadership !== undefined)) return false
  adoptTerm(replica, term)
  if (!await saveTerm(replica)) return false
  if (replica.term !== term) return false
  replica.role = 'follower'
  replica.leaderContactMs = replica.clock.nowMs()
  if (replica.leaderVmId !== vmId) {
    replica.leaderVmId = vmId
    replica.changed.notify()
  }
  return true
}

/**
 * Renews the contact with the leader it follows already. It needs no lock, as it writes nothing: a vote that was granted before has raised
 * the term, and one that is asked for later is denied.
 */
export function handleHeartbeat (replica: Replica, vmId: string, term: number): ReplicationReply {
  const failure = failureOf(replica)
  if (failure !== undefined) return refusedReply(replica, 'failed', failure)
  const isFollowing = term === replica.term && replica.role === 'follower' && replica.leaderVmId === vmId
  if (isFollowing) replica.leaderContactMs = replica.clock.nowMs()
  else if (term === replica.term) return refusedReply(replica, 'failed', 'this replica does not follow the sender yet')
  return { kind: 'heartbeat', term: replica.term }
}

/** Takes entries from the leader; they are on disk before they are acknowledged. Needs the lock. */
export async function handleAppend (replica: Replica, vmId: string, req: AppendRequest): Promise<AppendReply | RefusedReply> {
  const { log } = replica.store
  const refuse = (nextIndex: number): AppendReply => ({ kind: 'append', ok: false, term: replica.term, nextIndex })
  if (!await follow(replica, vmId, req.term)) return refuse(log.lastIndex() + 1)

  if (req.prevIndex > log.lastIndex()) return refuse(log.lastIndex() + 1)
  // What is committed here equals the leader's log, also where it is compacted.
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
  // A reply to a newer leader may have gone out during the write.
  if (replica.term !== req.term) return refuse(log.lastIndex() + 1)
  return { kind: 'append', ok: true, term: replica.term, matchIndex }
}

/** Removes entries that conflict with the leader's and writes the leader's. */
async function replaceFrom (replica: Replica, index: number, entries: AppendRequest['entries']): Promise<boolean> {
  const { log } = replica.store
  const hasConflict = index <= log.lastIndex()
  const truncated = hasConflict ? await log.truncateFrom(index) : undefined
  if (truncated?.isErr()) {
    noteStorageError(replica, truncated.error)
    return false
  }
  const written = await log.append(entries)
  if (written.isErr()) noteStorageError(replica, written.error)
  if (hasConflict || entries.some(({ body }) => body.kind === 'config')) refreshConfiguration(replica)
  return written.isOk()
}

/** First index of the conflicting term, so that the leader skips the whole term. */
function startOfTerm (replica: Replica, index: number): number {
  const term = termAt(replica, index)
  let start = index
  while (start - 1 > replica.commitIndex && termAt(replica, start - 1) === term) start--
  return start
}

/** Takes one piece of a snapshot and installs it when complete. Needs the lock. */
export async function handleSnapshot (replica: Replica, vmId: string, req: SnapshotRequest): Promise<SnapshotReply> {
  const answer = (nextOffset: number, installed = false): SnapshotReply => ({ kind: 'snapshot', term: replica.term, nextOffset, installed })
  if (!await follow(replica, vmId, req.term)) return answer(req.offset)
  if (req.lastIndex <= replica.commitIndex) {
    replica.incoming = undefined
    return answer(req.totalBytes, true)
  }
  const key = `${req.term}/${req.lastIndex}/${req.totalBytes}`
  if (replica.incoming?.key !== key) replica.incoming = { key, pieces: [], bytes: 0 }
  const { incoming } = replica
  if (req.offset !== incoming.bytes) return answer(incoming.bytes)
  const piece = Buffer.from(req.data, 'base64')
  incoming.pieces.push(piece)
  incoming.bytes += piece.length
  if (incoming.bytes < req.totalBytes) return answer(incoming.bytes)

  replica.incoming = undefined
  const installed = await replica.store.installSnapshot(Buffer.concat(incoming.pieces))
  if (installed.isErr()) {
    noteStorageError(replica, installed.error)
    return answer(req.offset)
  }
  const { lastIndex, config, state } = installed.value
  replica.machine.restore(state)
  replica.commitIndex = lastIndex
  replica.lastApplied = lastIndex
  replica.appliedConfig = config
  refreshConfiguration(replica)
  replica.changed.notify()
  for (const listener of replica.listeners) listener(lastIndex)
  return answer(req.totalBytes, true)
}
