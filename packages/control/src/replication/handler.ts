import { handleVote } from './election.js'
import { handleAppend, handleHeartbeat, handleSnapshot } from './follower.js'
import { handleJoin } from './membership.js'
import type { ReplicationMessage, ReplicationReply } from './messages.js'
import { handleForward } from './proposals.js'
import { confirmedIndex, leasedIndex } from './reads.js'
import { failureOf, refusedReply, type Replica } from './replica.js'

/** Handles a message from another replica and returns the reply. */
export async function handleMessage (replica: Replica, msg: ReplicationMessage): Promise<ReplicationReply> {
  const refusal = refusalOf(replica, msg)
  if (refusal !== undefined) return refusal
  const { body, from } = msg
  switch (body.kind) {
    case 'vote': return await withLock(replica, () => handleVote(replica, from.storageId, body))
    case 'heartbeat': return handleHeartbeat(replica, from.vmId, body.term)
    case 'append': return await withLock(replica, () => handleAppend(replica, from.vmId, body))
    case 'snapshot': return await withLock(replica, () => handleSnapshot(replica, from.vmId, body))
    case 'readIndex': {
      const index = body.basis === 'lease' ? leasedIndex(replica) : await confirmedIndex(replica)
      return { kind: 'readIndex', ...(index === undefined ? {} : { index }) }
    }
    case 'forward': return await handleForward(replica, body)
    case 'join': {
      const accepted = await handleJoin(replica, from.vmId)
      return { kind: 'join', accepted, ...(replica.leaderVmId === undefined ? {} : { leader: replica.leaderVmId }) }
    }
    case 'identify': return {
      kind: 'identify',
      storageId: replica.self.storageId,
      ...(replica.config === undefined ? {} : { groupId: replica.config.groupId }),
      initiating: replica.initiating,
      hasLeader: leasedIndex(replica) !== undefined
    }
  }
}

/** Runs a task under the lock. After a failed sync or a fault the message is refused, even if the failure arises while it waits. */
async function withLock (replica: Replica, task: () => Promise<ReplicationReply>): Promise<ReplicationReply> {
  return await replica.lock(async () => {
    if (replica.closed) return refusedReply(replica, 'closed', 'the control process is stopping')
    const before = failureOf(replica)
    if (before !== undefined) return refusedReply(replica, 'failed', before)
    const reply = await task()
    const after = failureOf(replica)
    return after === undefined ? reply : refusedReply(replica, 'failed', after)
  })
}

function refusalOf (replica: Replica, { group, groupId, to, body }: ReplicationMessage): ReplicationReply | undefined {
  const own = replica.config?.groupId
  // A forwarded proposal may be a copy of one that was accepted before.
  if (replica.closed && body.kind !== 'forward') return refusedReply(replica, 'closed', 'the control process is stopping')
  if (group !== replica.group) return refusedReply(replica, 'group', `this is log group "${replica.group}", not "${group}"`)
  // `identify` must also work between groups, so that init can refuse to create a second group.
  if (body.kind !== 'identify' && groupId !== undefined && own !== undefined && groupId !== own) {
    return refusedReply(replica, 'group', `this replica belongs to group ${own}, the sender to ${groupId}; check the settings of both VMs`)
  }
  if (to !== undefined && to !== replica.self.storageId) {
    return refusedReply(replica, 'identity', `the storage id of this replica is ${replica.self.storageId}, not ${to}`)
  }
  return undefined
}
