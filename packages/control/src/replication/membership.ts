import type { ProposeError } from '@orioleslip/core'
import { err, type Result } from 'neverthrow'
import { nextConfiguration, type MemberView } from './configuration.js'
import { proposeEntry } from './proposals.js'
import { ownMember, sendRequest, type Leadership, type Replica } from './replica.js'
import { verifyJoin } from './replicator.js'

// A learner that lags by less than this many entries catches up within a few messages.
const CAUGHT_UP_ENTRIES = 64

/** Adds, removes and promotes members on the leader, one committed change at a time. */
export async function runMembership (replica: Replica, leadership: Leadership) {
  const { clock, settings, store, self, membership } = replica
  const contactMs = (storageId: string) => leadership.progress.get(storageId)?.contactMs ?? -Infinity
  const matchIndex = (storageId: string) => leadership.progress.get(storageId)?.matchIndex ?? 0
  const view: MemberView = {
    joins: leadership.joins,
    hasRecentContact: (storageId) => storageId === self.storageId || clock.nowMs() - contactMs(storageId) < settings.leaseMs,
    voterLimit: membership.kind === 'open' ? membership.voters : Infinity,
    isReplaceable: (storageId) => {
      const silentMs = clock.nowMs() - Math.max(leadership.startedMs, contactMs(storageId))
      return storageId !== self.storageId && silentMs >= settings.replaceAfterMs
    },
    isCaughtUp: (storageId) => view.hasRecentContact(storageId) && matchIndex(storageId) + CAUGHT_UP_ENTRIES > store.log.lastIndex()
  }
  while (!leadership.ended) {
    await clock.sleep(settings.heartbeatMs)
    if (leadership.ended || replica.config === undefined) continue
    if (!canChangeMembers(replica, leadership)) continue
    const config = nextConfiguration(replica.config, view)
    removeCompletedJoins(replica, leadership)
    if (config === undefined) continue
    replica.logger.info({ event: 'group-members', group: replica.group, members: config.members }, 'changing the members of the group')
    await proposeEntry(replica, { kind: 'config', config })
  }
}

/** A change may only start once the one before it and an entry of this term are committed. */
function canChangeMembers (replica: Replica, leadership: Leadership): boolean {
  const { commitIndex, configIndex } = replica
  const isQueued = leadership.queuedProposals.some(({ body }) => body.kind === 'config')
  return !isQueued && leadership.firstIndex !== 0 && commitIndex >= Math.max(leadership.firstIndex, configIndex)
}

/** Excludes a VM from the group, or readmits it. */
export async function setExcluded (replica: Replica, vmId: string, excluded: boolean): Promise<Result<void, ProposeError>> {
  const { leadership, config, self } = replica
  const refuse = (message: string) => err<void, ProposeError>({ kind: 'refused', message })
  if (leadership === undefined || config === undefined) return err({ kind: 'notLeader', message: 'this replica does not lead; ask the leader' })
  if (excluded && vmId === self.vmId) return refuse('this VM leads the group; stop its control process first, then ask the new leader')
  if (!canChangeMembers(replica, leadership)) return refuse('another change of the members is under way; try again in a second')
  const res = await proposeEntry(replica, {
    kind: 'config',
    config: {
      ...config,
      members: excluded ? config.members.filter((member) => member.vmId !== vmId) : config.members,
      excluded: [...config.excluded.filter((other) => other !== vmId), ...(excluded ? [vmId] : [])]
    }
  })
  return res.map(() => undefined)
}

function removeCompletedJoins (replica: Replica, leadership: Leadership) {
  for (const [vmId, storageId] of leadership.joins) {
    if (replica.config?.members.some((member) => member.storageId === storageId)) leadership.joins.delete(vmId)
  }
}

/** Handles a join request; with listed membership the sender must be one of the control VMs of the settings. */
export async function handleJoin (replica: Replica, vmId: string): Promise<boolean> {
  const { leadership, peers, membership } = replica
  const mayJoin = membership.kind === 'open' || peers.some((peer) => peer.vmId === vmId)
  if (leadership === undefined || !mayJoin || vmId === replica.self.vmId) return false
  const storageId = await verifyJoin(replica, vmId)
  if (storageId === undefined || leadership.ended) return false
  leadership.joins.set(vmId, storageId)
  return true
}

/** Requests to join while this replica is not a member, or has no contact with a leader and may have been removed. */
export async function runJoin (replica: Replica) {
  const { clock, settings } = replica
  while (!replica.closed) {
    await clock.sleep(settings.joinRetryMs)
    const hasLeaderContact = clock.nowMs() - replica.leaderContactMs < settings.electionMaxMs || replica.role === 'leader'
    if (replica.closed || replica.fault !== undefined || replica.initiating) continue
    // A removed member does not receive the entry that removes it.
    if (ownMember(replica) !== undefined && hasLeaderContact) continue
    await requestJoin(replica)
  }
}

/** Sends a join request to each known VM in turn, and to the leaders that they name, until one accepts it. */
async function requestJoin (replica: Replica) {
  const contacted = new Set([replica.self.vmId])
  const pending = replica.peers.map(({ vmId }) => vmId)
  for (let vmId = pending.shift(); vmId !== undefined; vmId = pending.shift()) {
    if (contacted.has(vmId)) continue
    contacted.add(vmId)
    const reply = await sendRequest(replica, vmId, { kind: 'join' })
    if (reply?.kind !== 'join') continue
    if (reply.accepted) return
    if (reply.leader !== undefined) pending.unshift(reply.leader)
  }
}
