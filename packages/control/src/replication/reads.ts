import type { NotCurrent } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { ReadBasis } from './messages.js'
import { sendRequest, type Replica } from './replica.js'
import { leaseMs, reachedByMembers } from './roles.js'

/** Commit index that covers every entry accepted so far; undefined without a valid lease. */
export function leasedIndex (replica: Replica): number | undefined {
  const { leadership, commitIndex } = replica
  // Until an entry of its own term is committed, a leader's commit index may be lower than that of the leader before it.
  if (leadership === undefined || leadership.firstIndex === 0 || commitIndex < leadership.firstIndex) return undefined
  return leaseMs(replica) > 0 ? commitIndex : undefined
}

/** Commit index that covers every entry accepted before the call; undefined when no quorum confirms that this replica still leads. */
export async function confirmedIndex (replica: Replica): Promise<number | undefined> {
  const { leadership, clock, settings } = replica
  const index = leasedIndex(replica)
  if (leadership === undefined || index === undefined) return undefined
  const round = ++leadership.readRound
  leadership.sendDue.notify()
  const endMs = clock.nowMs() + settings.readTimeoutMs
  while (confirmedRound(replica) < round) {
    const remainingMs = endMs - clock.nowMs()
    if (remainingMs <= 0 || leadership.ended) return undefined
    await leadership.memberReplied.wait(remainingMs)
  }
  return leadership.ended ? undefined : index
}

/** The latest round of reads that a quorum, including this leader, has confirmed. */
const confirmedRound = (replica: Replica): number => reachedByMembers(replica, Infinity, (progress) => progress.confirmedRound)

/** Ok once this replica has applied everything that was accepted before the call. */
export async function confirmCurrent (replica: Replica, basis: ReadBasis): Promise<Result<void, NotCurrent>> {
  const { clock, settings, self, peers } = replica
  const { leaderVmId } = replica
  const leader = peers.find(({ vmId }) => vmId === leaderVmId)?.address
  const refuse = (message: string) => err<void, NotCurrent>({ kind: 'notCurrent', ...(leader === undefined ? {} : { leader }), message })
  if (replica.closed || replica.fault !== undefined) return refuse(replica.fault ?? 'the control process is stopping; ask another control VM')
  let index = basis === 'lease' ? leasedIndex(replica) : await confirmedIndex(replica)
  if (index === undefined && replica.role !== 'leader') {
    if (leaderVmId === undefined || leaderVmId === self.vmId) return refuse('no leader is known; ask another control VM')
    // The reply of the leader takes a round trip to a quorum.
    const timeoutMs = basis === 'lease' ? settings.rpcTimeoutMs : 2 * settings.rpcTimeoutMs
    const reply = await sendRequest(replica, leaderVmId, { kind: 'readIndex', basis }, undefined, timeoutMs)
    index = reply?.kind === 'readIndex' ? reply.index : undefined
  }
  if (index === undefined) return refuse('no leader with contact to a quorum replies; ask another control VM')
  const endMs = clock.nowMs() + settings.readTimeoutMs
  while (replica.lastApplied < index) {
    const remainingMs = endMs - clock.nowMs()
    if (remainingMs <= 0 || replica.closed) return refuse(`entry ${index} has not arrived within ${settings.readTimeoutMs} ms; ask another control VM`)
    await replica.stateChanged.wait(remainingMs)
  }
  return ok()
}
