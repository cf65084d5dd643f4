import { randomUUID } from 'node:crypto'
import type { ProposeError } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { pack, unpack } from '../storage/record.js'
import type { LogEntry } from '../storage/entry.js'
import type { ForwardReply, ForwardRequest } from './messages.js'
import { within } from './notifier.js'
import { failureOf, request, type Proposal, type Replica } from './replica.js'
import { leaseMs } from './roles.js'

// More than a leader receives while a copy of a message is under way.
const REMEMBERED_FORWARDS = 20_000

type Proposed = Result<unknown, ProposeError>

/** Proposes a command: here when this replica leads, otherwise through the leader it knows. */
export async function propose (replica: Replica, cmd: unknown): Promise<Proposed> {
  const refusal = refusalOf(replica)
  if (refusal !== undefined) return err({ kind: 'refused', message: refusal })
  const packed = pack(cmd)
  const { commandBytes } = replica.settings
  if (packed.length > commandBytes) {
    return err({ kind: 'refused', message: `the command has ${packed.length} bytes, the limit is ${commandBytes}; split it` })
  }
  // A private copy in the form that replay gives, whatever the caller does with its object.
  if (replica.role === 'leader') return await proposeBody(replica, { kind: 'command', cmd: unpack(packed) })
  return await forward(replica, cmd)
}

function refusalOf (replica: Replica): string | undefined {
  if (replica.closed) return 'the control process is stopping; use another control VM'
  return replica.role === 'leader' ? undefined : replica.fault
}

/** Queues an entry on the leader and waits until it is applied. */
export async function proposeBody (replica: Replica, body: LogEntry['body']): Promise<Proposed> {
  const { leadership, settings, clock } = replica
  if (leadership === undefined) return err(notLeader(replica, 'this replica does not lead'))
  const failure = failureOf(replica)
  if (failure !== undefined) return err({ kind: 'refused', message: failure })
  const isNew = clock.nowMs() - leadership.startedMs < settings.leaseMs
  if (!isNew && leaseMs(replica) === 0) return err(notLeader(replica, 'the leader has no contact with a quorum'))
  if (leadership.proposals.length >= settings.queueEntries) {
    return err({ kind: 'refused', message: `${settings.queueEntries} proposals wait for the disk; try again later` })
  }
  let proposal: Proposal | undefined
  const done = new Promise<Proposed>((resolve) => {
    proposal = { body, cancelled: false, resolve }
    leadership.proposals.push(proposal)
    leadership.queued.notify()
  })
  const res = await within(clock, settings.proposeTimeoutMs, done)
  if (res !== undefined) return res
  proposal!.cancelled = true
  if (leadership.proposals.includes(proposal!)) {
    return err({ kind: 'refused', message: `not written within ${settings.proposeTimeoutMs} ms and withdrawn; check the disk` })
  }
  return err({ kind: 'outcomeUnknown', message: `not committed within ${settings.proposeTimeoutMs} ms; resend with the same id` })
}

const notLeader = (replica: Replica, reason: string): ProposeError => {
  const leader = replica.peers.find(({ vmId }) => vmId === replica.leaderVmId)?.address
  return { kind: 'notLeader', ...(leader === undefined ? {} : { leader }), message: `${reason}; ask ${leader ?? 'another control VM'}` }
}

async function forward (replica: Replica, cmd: unknown): Promise<Proposed> {
  const { leaderVmId, settings } = replica
  if (leaderVmId === undefined || leaderVmId === replica.self.vmId) return err(notLeader(replica, 'no leader is known'))
  const body: ForwardRequest = { kind: 'forward', requestId: randomUUID(), term: replica.term, cmd }
  const reply = await request(replica, leaderVmId, body, undefined, settings.proposeTimeoutMs + settings.rpcTimeoutMs)
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
  const { leadership, forwards } = replica
  const unknown: ForwardReply = { kind: 'forward', status: 'outcomeUnknown', message: 'a copy of the request came before; resend with the same id' }
  if (forwards.has(requestId)) return await (forwards.get(requestId) ?? unknown)
  if (leadership?.term !== term) {
    // An earlier process of this VM, perhaps on another disk, led in the term; it may have taken another copy of the request.
    if (!replica.ledTerms.has(term)) return unknown
    return { kind: 'forward', status: 'notLeader', message: `this replica does not lead in term ${term}` }
  }
  const reply = proposeForwarded(replica, cmd)
  forwards.set(requestId, reply)
  const oldest = forwards.keys().next().value
  if (forwards.size > REMEMBERED_FORWARDS && oldest !== undefined) forwards.delete(oldest)
  const answer = await reply
  forwards.set(requestId, undefined)
  return answer
}

async function proposeForwarded (replica: Replica, cmd: unknown): Promise<ForwardReply> {
  const res = await propose(replica, cmd)
  return res.match<ForwardReply>(
    (reply) => ({ kind: 'forward', status: 'ok', reply }),
    ({ kind, message }) => ({ kind: 'forward', status: kind, message }))
}
