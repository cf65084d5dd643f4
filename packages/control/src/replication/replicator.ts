import type { SnapshotReply } from './messages.js'
import { noteStorageError, request, termAt, type Leadership, type Progress, type Replica } from './replica.js'
import { adoptTerm } from './roles.js'

/** Keeps the contact with a member whose disk takes long, so that a slow sync does not end the lease. */
export async function runHeartbeat (replica: Replica, leadership: Leadership, progress: Progress) {
  const { settings, clock } = replica
  while (isActive(replica, leadership, progress)) {
    await clock.sleep(settings.heartbeatMs)
    if (leadership.ended || clock.nowMs() - progress.contactMs <= settings.heartbeatMs) continue
    const sentMs = clock.nowMs()
    const reply = await request(replica, progress.vmId, { kind: 'heartbeat', term: leadership.term }, progress.storageId)
    if (!leadership.ended && reply?.kind === 'heartbeat') acceptsTerm(replica, leadership, progress, reply.term, sentMs)
  }
}

/** Keeps one member's log equal to the leader's; one message at a time. */
export async function runReplicator (replica: Replica, leadership: Leadership, progress: Progress, onMatch: () => void) {
  const { settings, store } = replica
  while (isActive(replica, leadership, progress)) {
    const hasAnswered = needsSnapshot(replica, progress)
      ? await sendSnapshot(replica, leadership, progress)
      : await sendEntries(replica, leadership, progress)
    if (leadership.ended) return
    onMatch()
    const isBehind = progress.nextIndex <= store.log.lastIndex()
    // A peer that does not answer is tried again at the next heartbeat.
    if (!hasAnswered) await replica.clock.sleep(settings.heartbeatMs)
    else if (!isBehind) await leadership.written.wait(settings.heartbeatMs)
  }
  if (leadership.progress.get(progress.storageId) === progress) leadership.progress.delete(progress.storageId)
}

const isActive = (replica: Replica, leadership: Leadership, { storageId }: Progress) =>
  !leadership.ended && replica.config?.members.some((member) => member.storageId === storageId) === true

const needsSnapshot = (replica: Replica, { nextIndex }: Progress) =>
  nextIndex < replica.store.log.firstIndex() || termAt(replica, nextIndex - 1) === undefined

/** Sends entries from `nextIndex` on, or a heartbeat; false when the peer gave no usable reply. */
async function sendEntries (replica: Replica, leadership: Leadership, progress: Progress): Promise<boolean> {
  const { store, settings, clock, commitIndex } = replica
  const prevIndex = progress.nextIndex - 1
  const entries = store.log.slice(progress.nextIndex, settings.batchBytes)
  const sentMs = clock.nowMs()
  const reply = await request(replica, progress.vmId, {
    kind: 'append', term: leadership.term, prevIndex, prevTerm: termAt(replica, prevIndex)!, entries, commitIndex
  }, progress.storageId)
  if (leadership.ended || reply === undefined) return false
  if (reply.kind === 'refused' && reply.reason === 'identity') await noteLostDisk(replica, leadership, progress)
  if (reply.kind !== 'append') return false
  if (!acceptsTerm(replica, leadership, progress, reply.term, sentMs)) return false
  if (reply.ok) {
    progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex)
    progress.nextIndex = progress.matchIndex + 1
  } else {
    progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(prevIndex, reply.nextIndex))
  }
  return true
}

/** Notes the contact; false when the peer is in another term. */
function acceptsTerm (replica: Replica, leadership: Leadership, progress: Progress, term: number, sentMs: number): boolean {
  if (term > leadership.term) {
    adoptTerm(replica, term)
    return false
  }
  if (term !== leadership.term) return false
  progress.contactMs = Math.max(progress.contactMs, sentMs)
  return true
}

/** Sends the latest snapshot in pieces; false when the peer stopped answering. */
async function sendSnapshot (replica: Replica, leadership: Leadership, progress: Progress): Promise<boolean> {
  const { store, settings, clock } = replica
  const lastIndex = store.snapshot()?.lastIndex ?? 0
  const read = await store.readSnapshot()
  if (read.isErr()) {
    noteStorageError(replica, read.error)
    return false
  }
  const data = read.value
  replica.logger.info({ event: 'snapshot-sent', group: replica.group, vmId: progress.vmId, lastIndex, bytes: data.length }, 'sending a snapshot')
  for (let offset = 0, isInstalled = false; !isInstalled;) {
    const sentMs = clock.nowMs()
    const piece = data.subarray(offset, offset + settings.chunkBytes).toString('base64')
    const reply = await request(replica, progress.vmId, {
      kind: 'snapshot', term: leadership.term, lastIndex, offset, totalBytes: data.length, data: piece
    }, progress.storageId, settings.proposeTimeoutMs)
    if (leadership.ended || reply?.kind !== 'snapshot') return false
    if (!acceptsTerm(replica, leadership, progress, reply.term, sentMs)) return false
    if (!isUsable(reply, offset, data.length)) return false
    offset = reply.nextOffset
    isInstalled = reply.installed
  }
  progress.matchIndex = Math.max(progress.matchIndex, lastIndex)
  progress.nextIndex = progress.matchIndex + 1
  return true
}

/** An offset that does not move means that the peer refused the piece, for example because its disk is full. */
const isUsable = ({ nextOffset, installed }: SnapshotReply, offset: number, totalBytes: number) =>
  installed || (nextOffset !== offset && nextOffset < totalBytes)

/** The VM answers with another disk content: the old member is lost. It is verified before it counts as a join. */
async function noteLostDisk (replica: Replica, leadership: Leadership, { vmId, storageId }: Progress) {
  const found = await verifyJoin(replica, vmId)
  if (found !== undefined && found !== storageId) leadership.joins.set(vmId, found)
}

/** Asks a VM for its present storage id, so that a delayed message from an earlier disk content has no effect. */
export async function verifyJoin (replica: Replica, vmId: string): Promise<string | undefined> {
  const reply = await request(replica, vmId, { kind: 'identify', init: false })
  if (reply?.kind !== 'identify') return undefined
  return reply.groupId === undefined || reply.groupId === replica.config?.groupId ? reply.storageId : undefined
}
