import type { SnapshotReply } from './messages.js'
import { handleStorageError, sendRequest, termAt, type Leadership, type Progress, type Replica } from './replica.js'
import { adoptTerm } from './roles.js'

/** Sends heartbeats to a member that has not replied for the heartbeat interval, so that a slow sync on its disk does not end the lease. */
export async function runHeartbeat (replica: Replica, leadership: Leadership, progress: Progress) {
  const { settings, clock } = replica
  while (isActive(replica, leadership, progress)) {
    await clock.sleep(settings.heartbeatMs)
    if (leadership.ended || clock.nowMs() - progress.contactMs <= settings.heartbeatMs) continue
    const sent = startSending(replica, leadership)
    const reply = await sendRequest(replica, progress.vmId, { kind: 'heartbeat', term: leadership.term }, progress.storageId)
    if (!leadership.ended && reply?.kind === 'heartbeat') recordContact(replica, leadership, progress, reply.term, sent)
  }
}

/** Keeps one member's log equal to the leader's, with one message in flight at a time. */
export async function runReplicator (replica: Replica, leadership: Leadership, progress: Progress, onMatch: () => void) {
  const { settings, store } = replica
  while (isActive(replica, leadership, progress)) {
    const hasReplied = needsSnapshot(replica, progress)
      ? await sendSnapshot(replica, leadership, progress)
      : await sendEntries(replica, leadership, progress)
    if (leadership.ended) return
    onMatch()
    const isBehind = progress.nextIndex <= store.log.lastIndex() || progress.confirmedRound < leadership.readRound
    // A message without a usable reply is retried after the heartbeat interval.
    if (!hasReplied) await replica.clock.sleep(settings.heartbeatMs)
    else if (!isBehind) await leadership.sendDue.wait(settings.heartbeatMs)
  }
  if (leadership.progress.get(progress.storageId) === progress) leadership.progress.delete(progress.storageId)
}

const isActive = (replica: Replica, leadership: Leadership, { storageId }: Progress) =>
  !leadership.ended && replica.config?.members.some((member) => member.storageId === storageId) === true

const needsSnapshot = (replica: Replica, { nextIndex }: Progress) =>
  nextIndex < replica.store.log.firstIndex() || termAt(replica, nextIndex - 1) === undefined

/** Sends the entries from `nextIndex` on, or none as a heartbeat; false without a usable reply. */
async function sendEntries (replica: Replica, leadership: Leadership, progress: Progress): Promise<boolean> {
  const { store, settings, commitIndex } = replica
  const prevIndex = progress.nextIndex - 1
  const entries = store.log.slice(progress.nextIndex, settings.batchBytes)
  const sent = startSending(replica, leadership)
  const reply = await sendRequest(replica, progress.vmId, {
    kind: 'append', term: leadership.term, prevIndex, prevTerm: termAt(replica, prevIndex)!, entries, commitIndex
  }, progress.storageId)
  if (leadership.ended || reply === undefined) return false
  if (reply.kind === 'refused' && reply.reason === 'identity') await addJoinOfReplacedDisk(replica, leadership, progress)
  if (reply.kind !== 'append') return false
  if (!recordContact(replica, leadership, progress, reply.term, sent)) return false
  if (reply.ok) {
    progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex)
    progress.nextIndex = progress.matchIndex + 1
  } else {
    progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(prevIndex, reply.nextIndex))
  }
  return true
}

/** When a message was sent, and which reads had asked for a round by then. */
type Sending = { sentMs: number, sentWallMs: number, round: number }

const startSending = ({ clock }: Replica, { readRound }: Leadership): Sending =>
  ({ sentMs: clock.nowMs(), sentWallMs: clock.wallMs(), round: readRound })

/** Records the time of contact; false when the peer is in another term, which ends the leadership if it is higher. */
function recordContact (replica: Replica, leadership: Leadership, progress: Progress, term: number, sent: Sending): boolean {
  if (term > leadership.term) {
    adoptTerm(replica, term)
    return false
  }
  if (term !== leadership.term) return false
  if (sent.sentMs >= progress.contactMs) {
    progress.contactMs = sent.sentMs
    progress.contactWallMs = sent.sentWallMs
  }
  progress.confirmedRound = Math.max(progress.confirmedRound, sent.round)
  leadership.memberReplied.notify()
  return true
}

/** Sends the latest snapshot in chunks; false when it can't be read, or when the peer stops replying or refuses a chunk. */
async function sendSnapshot (replica: Replica, leadership: Leadership, progress: Progress): Promise<boolean> {
  const { store, settings } = replica
  const lastIndex = store.snapshot()?.lastIndex ?? 0
  const read = await store.readSnapshot()
  if (read.isErr()) {
    handleStorageError(replica, read.error)
    return false
  }
  const data = read.value
  replica.logger.info({ event: 'snapshot-sent', group: replica.group, vmId: progress.vmId, lastIndex, bytes: data.length }, 'sending a snapshot')
  for (let offset = 0, isInstalled = false; !isInstalled;) {
    const sent = startSending(replica, leadership)
    const chunk = data.subarray(offset, offset + settings.chunkBytes).toString('base64')
    const reply = await sendRequest(replica, progress.vmId, {
      kind: 'snapshot', term: leadership.term, lastIndex, offset, totalBytes: data.length, data: chunk
    }, progress.storageId, settings.proposeTimeoutMs)
    if (leadership.ended || reply?.kind !== 'snapshot') return false
    if (!recordContact(replica, leadership, progress, reply.term, sent)) return false
    if (!hasAdvanced(reply, offset, data.length)) return false
    offset = reply.nextOffset
    isInstalled = reply.installed
  }
  progress.matchIndex = Math.max(progress.matchIndex, lastIndex)
  progress.nextIndex = progress.matchIndex + 1
  return true
}

/** An unchanged offset means that the peer refused the chunk, for example because its disk is full. */
const hasAdvanced = ({ nextOffset, installed }: SnapshotReply, offset: number, totalBytes: number) =>
  installed || (nextOffset !== offset && nextOffset < totalBytes)

/** Registers a join of the VM if it verifiably has another storage id: the disk of the old member is then lost. */
async function addJoinOfReplacedDisk (replica: Replica, leadership: Leadership, { vmId, storageId }: Progress) {
  const found = await verifyJoin(replica, vmId)
  if (found !== undefined && found !== storageId) leadership.joins.set(vmId, found)
}

/** Requests the current storage id of a VM, so that a delayed message sent from an earlier disk has no effect. Undefined if unverified. */
export async function verifyJoin (replica: Replica, vmId: string): Promise<string | undefined> {
  const reply = await sendRequest(replica, vmId, { kind: 'identify', init: false })
  if (reply?.kind !== 'identify') return undefined
  return reply.groupId === undefined || reply.groupId === replica.config?.groupId ? reply.storageId : undefined
}
