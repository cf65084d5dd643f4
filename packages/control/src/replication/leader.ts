import { err } from 'neverthrow'
import type { LogEntry } from '../storage/entry.js'
import { applyCommitted } from './apply.js'
import { votersOf } from './configuration.js'
import { runMembership } from './membership.js'
import { createNotifier } from './synchronization.js'
import { proposeEntry } from './proposals.js'
import { runHeartbeat, runReplicator } from './replicator.js'
import { handleStorageError, refreshConfiguration, termAt, type Leadership, type Proposal, type Replica } from './replica.js'
import { quorumSilenceMs, reachedByMembers, stepDown } from './roles.js'
import type { ReplicationSettings } from './settings.js'
import { startTask } from './tasks.js'

/** Starts the leadership of this replica in the current term. */
export function startLeading (replica: Replica) {
  const { clock, term, self } = replica
  const leadership: Leadership = {
    term,
    startedMs: clock.nowMs(),
    firstIndex: 0,
    writingSinceMs: Infinity,
    progress: new Map(),
    queuedProposals: [],
    queuedBytes: 0,
    awaitingCommit: new Map(),
    joins: new Map(),
    proposalQueued: createNotifier(clock),
    readRound: 0,
    sendDue: createNotifier(clock),
    memberReplied: createNotifier(clock),
    ended: false
  }
  replica.role = 'leader'
  replica.leaderVmId = self.vmId
  replica.leadership = leadership
  replica.ledTerms.add(term)
  replica.logger.info({ event: 'leader', group: replica.group, term, leads: true }, 'this replica leads')
  startTask(replica, proposeEntry(replica, { kind: 'noop' }))
  startTask(replica, runWriter(replica, leadership))
  startTask(replica, checkQuorum(replica, leadership))
  startTask(replica, runMembership(replica, leadership))
  startReplicators(replica, leadership)
  replica.stateChanged.notify()
}

/** Starts the replication tasks of each member that has none. Tasks of removed members end by themselves. */
function startReplicators (replica: Replica, leadership: Leadership) {
  for (const { vmId, storageId } of replica.config?.members ?? []) {
    if (storageId === replica.self.storageId || leadership.progress.has(storageId)) continue
    const nextIndex = replica.store.log.lastIndex() + 1
    const progress = { vmId, storageId, nextIndex, matchIndex: 0, contactMs: -Infinity, contactWallMs: -Infinity, confirmedRound: 0 }
    leadership.progress.set(storageId, progress)
    startTask(replica, runHeartbeat(replica, leadership, progress))
    startTask(replica, runReplicator(replica, leadership, progress, () => advanceCommit(replica, leadership)))
  }
}

/** Writes queued proposals, many per sync. They are sent to peers only once they are on this disk. */
async function runWriter (replica: Replica, leadership: Leadership) {
  while (!leadership.ended) {
    if (leadership.queuedProposals.length === 0) await leadership.proposalQueued.wait(replica.settings.heartbeatMs)
    else await replica.lock(() => writeBatch(replica, leadership))
  }
}

async function writeBatch (replica: Replica, leadership: Leadership) {
  if (leadership.ended) return
  const { store, settings } = replica
  const batch = takeBatch(leadership, settings)
  if (batch.length === 0) return
  const firstIndex = store.log.lastIndex() + 1
  const entries = batch.map<LogEntry>(({ body }, i) => ({ index: firstIndex + i, term: leadership.term, body }))
  leadership.writingSinceMs = replica.clock.nowMs()
  const written = await store.log.append(entries)
  leadership.writingSinceMs = Infinity
  if (written.isErr()) {
    handleStorageError(replica, written.error)
    const { message } = written.error
    // The entries may still be on the disk at the next start.
    const kind = store.failure() === undefined && store.log.isSettled() ? 'refused' : 'outcomeUnknown'
    for (const { resolve } of batch) resolve(err({ kind, message }))
    const isSingleVoter = replica.config !== undefined && votersOf(replica.config).length === 1
    if (!leadership.ended && (!isSingleVoter || store.failure() !== undefined)) stepDown(replica, message)
    return
  }
  if (entries.some(({ body }) => body.kind === 'config')) {
    refreshConfiguration(replica)
    if (!leadership.ended) startReplicators(replica, leadership)
  }
  if (leadership.ended) {
    for (const { resolve } of batch) resolve(err({ kind: 'outcomeUnknown', message: 'the leader stepped down during the write; resend with the same id' }))
    return
  }
  if (leadership.firstIndex === 0) leadership.firstIndex = firstIndex
  for (const [i, proposal] of batch.entries()) leadership.awaitingCommit.set(firstIndex + i, proposal)
  leadership.sendDue.notify()
  advanceCommit(replica, leadership)
}

/** Takes the oldest queued proposals within the limits of one write, at least one; cancelled ones are left out. */
function takeBatch (leadership: Leadership, { batchEntries, batchBytes }: ReplicationSettings): Proposal[] {
  const { queuedProposals } = leadership
  let count = 0
  let batchedBytes = 0
  while (count < Math.min(queuedProposals.length, batchEntries)) {
    const { bytes } = queuedProposals[count]!
    if (count > 0 && batchedBytes + bytes > batchBytes) break
    batchedBytes += bytes
    count++
  }
  leadership.queuedBytes -= batchedBytes
  return queuedProposals.splice(0, count).filter(({ cancelled }) => !cancelled)
}

/** Commits the entries that a quorum has on disk. Entries of earlier terms are only committed together with one of this term. */
export function advanceCommit (replica: Replica, leadership: Leadership) {
  if (leadership.ended) return
  const index = reachedByMembers(replica, replica.store.log.lastIndex(), (progress) => progress.matchIndex)
  if (index <= replica.commitIndex || termAt(replica, index) !== leadership.term) return
  replica.commitIndex = index
  applyCommitted(replica)
}

/** Ends a leadership that has lost contact with a quorum for the shortest election timeout, or whose disk hangs. */
async function checkQuorum (replica: Replica, leadership: Leadership) {
  const { clock, settings } = replica
  while (!leadership.ended) {
    await clock.sleep(settings.heartbeatMs)
    if (leadership.ended) return
    const nowMs = clock.nowMs()
    const silenceMs = Math.min(quorumSilenceMs(replica), nowMs - leadership.startedMs)
    if (replica.closed) stepDown(replica, 'the process is stopping')
    else if (silenceMs > settings.electionMinMs) stepDown(replica, 'no contact with a quorum')
    else if (nowMs - leadership.writingSinceMs > settings.proposeTimeoutMs) stepDown(replica, 'the disk of this VM does not complete a write; check it')
  }
}
