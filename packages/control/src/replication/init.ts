import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import type { Configuration, Member } from '../storage/entry.js'
import { runElection } from './election.js'
import { failureOf, handleStorageError, refreshConfiguration, sendRequest, saveTerm, type Replica } from './replica.js'
import { startTask } from './tasks.js'

/** `message` names the reason and the remedy. */
export type InitError =
  /** The group was created before; this VM belongs to it, or joins it by itself. */
  | { kind: 'exists', message: string }
  /** The group was not created. */
  | { kind: 'initRefused', message: string }
  /** The first entry is written here, but no quorum has confirmed it yet. */
  | { kind: 'initUnconfirmed', message: string }

// Election timeouts to wait for the first commit; several, because VMs that have just started may not vote yet.
const CONFIRM_ELECTIONS = 5

const exists = (message: string) => err<never, InitError>({ kind: 'exists', message })
const refuse = (message: string) => err<void, InitError>({ kind: 'initRefused', message })

/**
 * Creates the group with the given VMs. All of them must reply, because their storage ids are part of the first configuration.
 * Concurrent attempts refuse each other.
 */
export async function initGroup (replica: Replica, vmIds: string[]): Promise<Result<void, InitError>> {
  const failure = failureOf(replica)
  if (replica.closed || failure !== undefined) return refuse(failure ?? 'the control process is stopping')
  if (replica.config !== undefined || replica.store.log.lastIndex() > 0) return exists(`group "${replica.group}" exists already on this VM; nothing to do`)
  if (replica.initiating) return refuse('another init runs on this VM; wait for its result')
  const unknown = vmIds.find((vmId) => !replica.peers.some((peer) => peer.vmId === vmId))
  if (unknown !== undefined) return refuse(`"${unknown}" is not among the control VMs of the settings; correct the name`)
  if (!vmIds.includes(replica.self.vmId)) return refuse(`this VM ("${replica.self.vmId}") must be one of the first members`)
  replica.initiating = true
  try {
    const members = await identifyPeers(replica, vmIds)
    if (members.isErr()) return err(members.error)
    const written = await replica.lock(() => writeFirstEntry(replica, members.value))
    if (written.isErr()) return written
    startTask(replica, runElection(replica))
    return await waitForFirstCommit(replica)
  } finally {
    replica.initiating = false
  }
}

async function identifyPeers (replica: Replica, vmIds: string[]): Promise<Result<Member[], InitError>> {
  const { peers, self, settings } = replica
  const others = peers.filter(({ vmId }) => vmId !== self.vmId)
  const replies = await Promise.all(others.map(async ({ vmId }) => {
    const reply = await sendRequest(replica, vmId, { kind: 'identify', init: true }, undefined, 4 * settings.rpcTimeoutMs)
    return { vmId, reply: reply?.kind === 'identify' ? reply : undefined }
  }))
  const members: Member[] = [{ ...self, voter: true }]
  for (const { vmId, reply } of replies) {
    if (reply?.groupId !== undefined) return exists(`"${vmId}" already belongs to a group; this VM joins it by itself`)
    if (reply?.initiating === true) return refuseMembers(`"${vmId}" is creating a group at the same time; wait for its result`)
    if (!vmIds.includes(vmId)) continue
    if (reply === undefined) return refuseMembers(`"${vmId}" does not answer; start it, or leave it out and let it join later`)
    members.push({ vmId, storageId: reply.storageId, voter: true })
  }
  return ok(members)
}

const refuseMembers = (message: string) => err<Member[], InitError>({ kind: 'initRefused', message })

/** Waits until the first entry is committed, so that the loss of this VM's disk can't undo the creation of the group. */
async function waitForFirstCommit (replica: Replica): Promise<Result<void, InitError>> {
  const { clock, settings } = replica
  const endMs = clock.nowMs() + CONFIRM_ELECTIONS * settings.electionMaxMs
  while (replica.commitIndex === 0) {
    const remainingMs = endMs - clock.nowMs()
    if (remainingMs <= 0 || replica.closed) {
      return err({ kind: 'initUnconfirmed', message: 'the group is created, but no quorum has confirmed it yet; look at the status of the VMs' })
    }
    await replica.stateChanged.wait(remainingMs)
  }
  return ok()
}

async function writeFirstEntry (replica: Replica, members: Member[]): Promise<Result<void, InitError>> {
  const { store } = replica
  if (replica.config !== undefined) return exists('this VM has joined a group in the meantime; nothing to do')
  const config: Configuration = { groupId: randomUUID(), members, excluded: [] }
  replica.term = Math.max(1, replica.term)
  if (!await saveTerm(replica)) return refuse(failureOf(replica) ?? 'the term could not be written; check the data folder')
  const written = await store.log.append([{ index: 1, term: replica.term, body: { kind: 'config', config } }])
  if (written.isErr()) {
    handleStorageError(replica, written.error)
    return refuse(written.error.message)
  }
  refreshConfiguration(replica)
  replica.logger.info({ event: 'group-created', group: replica.group, members }, 'the group is created')
  return ok()
}
