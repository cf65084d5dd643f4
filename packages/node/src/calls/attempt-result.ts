import {
  notRun, unknownOutcome, type Refusal, type TargetVerdict
} from '@orioleslip/core'
import type { ByteQueue } from '../links/byte-queue.js'
import type { ResponseHead } from '../links/messages.js'
import type { CallFinish, CallReply, OutgoingCall } from '../links/outgoing-call.js'
import type { CallDeadline } from './call-deadline.js'
import type { ForwardRequest } from './forwarder.js'

/** Result of one attempt at one VM. */
export type AttemptResult =
  | { kind: 'answer', call: OutgoingCall, head: ResponseHead, body: ByteQueue }
  | { kind: 'ended', call: OutgoingCall | undefined, reply: Exclude<CallReply, { kind: 'head' }> | { kind: 'notSent', message: string } }

type EndedReply = Extract<AttemptResult, { kind: 'ended' }>['reply']

/** Consequence of a failed attempt for the request: `failed` may be retried, `final` may not, `lost` needs a lookup of its outcome. */
export type Failure =
  | { kind: 'failed', refusal: Refusal }
  | { kind: 'final', refusal: Refusal }
  | { kind: 'lost', message: string }

/** Returns what a failed attempt means for its request. */
export function failureOf (req: ForwardRequest, reply: EndedReply): Failure {
  switch (reply.kind) {
    case 'refused': return { kind: 'failed', refusal: reply.refusal }
    case 'notSent': return { kind: 'failed', refusal: notRun('target-lost', reply.message, 1) }
    case 'lost':
      if (req.claimKey !== undefined) return reply
      return { kind: 'failed', refusal: unknownOutcome('target-lost', reply.message) }
    case 'cancelled': {
      const refusal = cancelledRefusal(req)
      return req.claimKey === undefined ? { kind: 'final', refusal } : { kind: 'lost', message: refusal.detail }
    }
  }
}

/** Returns what a failed attempt shows about its target. */
export function verdictOfReply (req: ForwardRequest, reply: EndedReply): TargetVerdict {
  // A target that holds a call until its deadline may hang; a call that its caller cancelled earlier says nothing about the target.
  if (req.deadline.signal.aborted && !req.deadline.expired()) return 'unknown'
  switch (reply.kind) {
    case 'refused': return isFault(reply.refusal) ? 'faulty' : 'sound'
    case 'notSent': case 'lost': case 'cancelled': return 'faulty'
  }
}

/** Returns what the end of a response shows about its target. */
export function verdictOfFinish (finish: CallFinish): TargetVerdict {
  switch (finish.kind) {
    case 'complete': return 'sound'
    case 'cancelled': return 'unknown'
    case 'aborted': case 'lost': return 'faulty'
  }
}

/** Returns the refusal of a request of whose response the caller has received nothing before it was cut off; the call has run. */
export function refusalOfCut (finish: Exclude<CallFinish, { kind: 'complete' }>, deadline: CallEnding): Refusal {
  switch (finish.kind) {
    case 'aborted': return unknownOutcome(finish.refusal.code, finish.refusal.detail)
    case 'lost': return unknownOutcome('target-lost', finish.message)
    case 'cancelled': return cancelledRefusal({ deadline })
  }
}

/** True for refusals caused by a fault of the target or node, false for deliberate ones. */
function isFault (refusal: Refusal): boolean {
  // The deadline of the call runs at both nodes; which of them ends first says nothing about the target.
  if (refusal.code === 'deadline-exceeded') return refusal.outcome === 'unknown'
  return refusal.code === 'target-lost' || refusal.code === 'bad-answer' || refusal.code === 'internal-error'
}

/** Returns the refusal of a call for which no target could be picked. */
export function refusalForNoRoute (service: string, reason: 'service-unknown' | 'no-target' | 'all-excluded'): Refusal {
  switch (reason) {
    case 'service-unknown': return notRun('service-unknown', `no target has announced the service "${service}"`)
    case 'no-target': return notRun('no-target', `no target of "${service}" can take the call`, 1)
    case 'all-excluded': return notRun('no-target', `every reachable target of "${service}" has been tried`, 1)
  }
}

/** What tells why a call was cancelled. */
type CallEnding = Pick<CallDeadline, 'expired' | 'drained'>

/** Returns the refusal of a call that its caller, its deadline or the stop of this node ended after it had been sent. */
export function cancelledRefusal ({ deadline }: { deadline: CallEnding }): Refusal {
  if (deadline.drained()) return unknownOutcome('target-lost', 'this node stopped before the target had responded')
  return deadline.expired()
    ? unknownOutcome('deadline-exceeded', 'the deadline passed after the call was sent to a target')
    : unknownOutcome('target-lost', 'the caller disconnected after the call was sent to a target')
}
