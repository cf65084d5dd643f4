import { randomUUID } from 'node:crypto'
import { estimateHeapBytes, isNestedDeeperThan, MAX_NESTING, type ProposeError } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { pack, unpack } from '../storage/record.js'
import type { LogEntry } from '../storage/entry.js'
import type { ForwardReply, ForwardRequest } from './messages.js'
import { startDueSnapshot, uncoveredLogBytes } from './apply.js'
import { withTimeout } from './synchronization.js'
import { failureOf, sendRequest, type Proposal, type Replica } from './replica.js'
import { leaseMs } from './roles.js'

// More forwarded proposals than a leader receives while a copy of a message is in transit.
const MAX_FORWARD_REPLIES = 20_000

/** Most bytes of heap or of JSON text for one encoded byte: an empty array with its place in another one takes 56 bytes of heap. */
const MAX_EXPANSION = 56

type ProposeResult = Result<unknown, ProposeError>

/** Proposes a command on this replica when it leads, otherwise through the leader that it follows. */
export async function propose (replica: Replica, cmd: unknown): Promise<ProposeResult> {
  const refusal = refusalOf(replica)
  if (refusal !== undefined) return err({ kind: 'refused', message: refusal })
  if (isNestedDeeperThan(cmd, MAX_NESTING)) {
    return err({ kind: 'refused', message: `the command has more than ${MAX_NESTING} levels of arrays and objects; flatten it` })
  }
  const encoded = encode(cmd)
  if (encoded.isErr()) return err({ kind: 'tooLarge', message: encoded.error })
  const packed = encoded.value
  const excess = excessOf(replica, cmd, packed.length)
  if (excess !== undefined) return err({ kind: 'tooLarge', message: excess })
  // A copy in the form that a replay of the log yields, which later changes of the caller's object don't affect.
  if (replica.role === 'leader') return await proposeEntry(replica, { kind: 'command', cmd: unpack(packed) }, packed.length)
  return await forward(replica, cmd)
}

/** Encodes a command; an error if it has no encoded form, as for an object with more than 65,535 properties, and never will have. */
function encode (cmd: unknown): Result<Buffer, string> {
  try {
    return ok(pack(cmd))
  } catch (cause) {
    return err(`the command cannot be encoded; an object may have 65535 properties at most (${cause instanceof Error ? cause.message : String(cause)})`)
  }
}

/** Names the limit that a command exceeds: of the log, of the heap of a replica that applies it, or of a message to a peer. */
function excessOf ({ settings }: Replica, cmd: unknown, packedBytes: number): string | undefined {
  const { commandBytes, commandHeapBytes, commandJsonBytes } = settings
  if (packedBytes > commandBytes) return `the command has ${packedBytes} bytes, the limit is ${commandBytes}; make it smaller`
  // Neither the heap size nor the JSON text of a value is this many times its encoded size.
  if (packedBytes * MAX_EXPANSION <= Math.min(commandHeapBytes, commandJsonBytes)) return undefined
  const heapBytes = estimateHeapBytes(cmd)
  if (heapBytes > commandHeapBytes) return `the command takes ${heapBytes} bytes of memory, the limit is ${commandHeapBytes}; use fewer values`
  const jsonBytes = Buffer.byteLength(JSON.stringify(cmd))
  if (jsonBytes > commandJsonBytes) return `the command has ${jsonBytes} bytes as JSON, the limit is ${commandJsonBytes}; make it smaller`
  return undefined
}

function refusalOf (replica: Replica): string | undefined {
  if (replica.closed) return 'the control process is stopping; use another control VM'
  return replica.role === 'leader' ? undefined : replica.fault
}

/** Queues an entry of `bytes` on the leader and waits until it is applied. */
export async function proposeEntry (replica: Replica, body: LogEntry['body'], bytes = 0): Promise<ProposeResult> {
  const { leadership, settings, clock } = replica
  if (leadership === undefined) return err(notLeader(replica, 'this replica does not lead'))
  const failure = failureOf(replica)
  if (failure !== undefined) return err({ kind: 'refused', message: failure })
  const isNew = clock.nowMs() - leadership.startedMs < settings.leaseMs
  if (!isNew && leaseMs(replica) === 0) return err(notLeader(replica, 'the leader has no contact with a quorum'))
  const uncoveredBytes = uncoveredLogBytes(replica)
  if (body.kind === 'command' && uncoveredBytes > settings.logBytes) {
    startDueSnapshot(replica)
    return err({ kind: 'refused', message: `the log has ${uncoveredBytes} bytes that no snapshot covers, the limit is ${settings.logBytes}; check the disk` })
  }
  const { queuedProposals, queuedBytes } = leadership
  if (queuedProposals.length >= settings.queueEntries || (queuedBytes > 0 && queuedBytes + bytes > settings.queueBytes)) {
    return err({ kind: 'refused', message: `${queuedProposals.length} proposals of ${queuedBytes} bytes wait for the disk; try again later` })
  }
  let proposal: Proposal | undefined
  const done = new Promise<ProposeResult>((resolve) => {
    proposal = { body, bytes, cancelled: false, resolve }
    queuedProposals.push(proposal)
    leadership.queuedBytes += bytes
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
    // The sender has checked the size before; only with other limits does it learn of it here.
    ({ kind, message }) => ({ kind: 'forward', status: kind === 'tooLarge' ? 'refused' : kind, message }))
}
