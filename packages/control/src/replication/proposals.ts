import { randomUUID } from 'node:crypto'
import { isNestedDeeperThan, MAX_NESTING, type ProposeError } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { pack, unpack } from '../storage/record.js'
import type { LogEntry } from '../storage/entry.js'
import type { ForwardReply, ForwardRequest } from './messages.js'
import { withTimeout } from './synchronization.js'
import { failureOf, sendRequest, type Proposal, type Replica } from './replica.js'
import { leaseMs } from './roles.js'

// More forwarded proposals than a leader receives while a copy of a message is in transit.
const MAX_FORWARD_REPLIES = 20_000

type ProposeResult = Result<unknown, ProposeError>

/** Proposes a command on this replica when it leads, otherwise through the leader that it follows. */
export async function propose (replica: Replica, cmd: unknown): Promise<ProposeResult> {
  const refusal = refusalOf(replica)
  if (refusal !== undefined) return err({ kind: 'refused', message: refusal })
  if (isNestedDeeperThan(cmd, MAX_NESTING)) {
    return err({ kind: 'refused', message: `the command has more than ${MAX_NESTING} levels of arrays and objects; flatten it` })
  }
  const packed = pack(cmd)
  const { commandBytes } = replica.settings
  if (packed.length > commandBytes) {
    return err({ kind: 'refused', message: `the command has ${packed.length} bytes, the limit is ${commandBytes}; split it` })
  }
  // A copy in the form that a replay of the log yields, which later changes of the caller's object don't affect.
  if (replica.role === 'leader') return await proposeEntry(replica, { kind: 'command', cmd: unpack(packed) })
  return await forward(replica, cmd)
}

function refusalOf (replica: Replica): string | undefined {
  if (replica.closed) return 'the control process is stopping; use another control VM'
  return replica.role === 'leader' ? undefined : replica.fault
}

/** Queues an entry on the leader and waits until it is applied. */
export async function proposeEntry (replica: Replica, body: LogEntry['body']): Promise<ProposeResult> {
  const { leadership, settings, clock } = replica
  if (leadership === undefined) return err(notLeader(replica, 'this replica does not lead'))
  const failure = failureOf(replica)
  if (failure !== undefined) return err({ kind: 'refused', message: failure })
  const isNew = clock.nowMs() - leadership.startedMs < settings.leaseMs
  if (!isNew && leaseMs(replica) === 0) return err(notLeader(replica, 'the leader has no contact with a quorum'))
  if (leadership.queuedProposals.length >= settings.queueEntries) {
    return err({ kind: 'refused', message: `${settings.queueEntries} proposals wait for the disk; try again later` })
  }
  let proposal: Proposal | undefined
  const done = new Promise<ProposeResult>((resolve) => {
    proposal = { body, cancelled: false, resolve }
    leadership.queuedProposals.push(proposal)
    leadership.proposalQueued.notify()
  })
  const res = await withTimeout(clock, settings.proposeTimeoutMs, done)
  if (res !== undefined) return res
  proposal!.cancelled = true
  if (leadership.queuedProposals.includes(proposal!)) {
    return err({ kind: 'refused', message: `not written within ${settings.proposeTimeoutMs} ms and withdrawn; check the disk` })
  }
  return err({ kind: 'outcomeUnknown', message: `not committed within ${settings.proposeTimeoutMs} ms; resend with the same id` })
}

const notLeader = (replica: Replica, reason: string): ProposeError => {
  const leader = replica.peers.find(({ vmId }) => vmId === replica.leaderVmId)?.address
  return { kind: 'notLeader', ...(leader === undefined ? {} : { leader }), message: `${reason}; ask ${leader ?? 'another control VM'}` }
}

async function forward (replica: Replica, cmd: unknown): Promise<ProposeResult> {
  const { leaderVmId, settings } = replica
  if (leaderVmId === undefined || leaderVmId === replica.self.vmId) return err(notLeader(replica, 'no leader is known'))
  const body: ForwardRequest = { kind: 'forward', requestId: randomUUID(), term: replica.term, cmd }
  const reply = await sendRequest(replica, leaderVmId, body, undefined, settings.proposeTimeoutMs + settings.rpcTimeoutMs)
  if (reply?.kind === 'forward') {
    switch (reply.status) {
      case 'ok': return ok(reply.reply)
      case 'notLeader': return err(notLeader(replica, reply.message))
      case 'outcomeUnknown':
      case 'refused': return err({ kind: reply.status, message: reply.message })
    }
  }
  if (reply?.kind === 'refused') return err(notLeader(replica, reply.message))
  return err({ kind: 'outcomeUnknown', message: `no reply from ${leaderVmId}; resend with the same id` })
}

/** Handles a proposal forwarded by another replica; it is never forwarded again. */
export async function handleForward (replica: Replica, { requestId, term, cmd }: ForwardRequest): Promise<ForwardReply> {
  const { leadership, forwardReplies } = replica
  const outcomeUnknown: ForwardReply = { kind: 'forward', status: 'outcomeUnknown', message: 'a copy of the request was received before; resend with the same id' }
  if (forwardReplies.has(requestId)) return await (forwardReplies.get(requestId) ?? outcomeUnknown)
  if (leadership?.term !== term) {
    // An earlier process of this VM, possibly with another disk, led in the term and may have accepted another copy of the request.
    if (!replica.ledTerms.has(term)) return outcomeUnknown
    return { kind: 'forward', status: 'notLeader', message: `this replica does not lead in term ${term}` }
  }
  const reply = proposeForwarded(replica, cmd)
  forwardReplies.set(requestId, reply)
  const oldest = forwardReplies.keys().next().value
  if (forwardReplies.size > MAX_FORWARD_REPLIES && oldest !== undefined) forwardReplies.delete(oldest)
  const settledReply = await reply
  forwardReplies.set(requestId, undefined)
  return settledReply
}

async function proposeForwarded (replica: Replica, cmd: unknown): Promise<ForwardReply> {
  const res = await propose(replica, cmd)
  return res.match<ForwardReply>(
    (reply) => ({ kind: 'forward', status: 'ok', reply }),
    ({ kind, message }) => ({ kind: 'forward', status: kind, message }))
}
