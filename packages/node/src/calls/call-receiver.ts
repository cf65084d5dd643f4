import { notRun, withTimeout, type CancelSignal, type Clock, type Refusal, type StoredResponse, type TargetGate } from '@orioleslip/core'
import type { GuardedRun, IdempotencyGuard } from '../idempotency/idempotency-guard.js'
import { HASHED_BODY_LIMIT_BYTES, requestHashOf } from '../idempotency/request-hash.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { CallHead } from '../links/messages.js'
import type { LocalTarget } from '../target/local-target.js'
import type { CallDeadline } from './call-deadline.js'
import { bodyCut, readUntilAborted } from './target-body.js'

/** Dependencies of `createCallReceiver`. */
export type CallReceiverOptions = {
  target: Pick<LocalTarget, 'current'>
  gate: Pick<TargetGate, 'load'>
  guard: Pick<IdempotencyGuard, 'begin'>
  clock: Clock
  /** Refusal for a new call that this node must not accept; undefined otherwise. */
  callRefusal: (head: CallHead) => Refusal | undefined
}

/** A call from another node after the checks that need neither the gate nor the target. */
export type ReceivedCall =
  /** `body` and `guardedRun` are those of a non-repeatable call, whose key has been claimed; undefined for repeatable calls. */
  | { kind: 'ready', body: Uint8Array | undefined, guardedRun: GuardedRun | undefined }
  | { kind: 'replay', response: StoredResponse }
  | { kind: 'refused', refusal: Refusal }

/** Largest share of its remaining time for which a call waits for the messages that its sender has sent behind it. */
const LINK_WAIT_SHARE = 0.5

/** Creates the receiver, which checks a call's target, age and cancels, and claims the key of one that may run only once. */
export function createCallReceiver ({ target, gate, guard, clock, callRefusal }: CallReceiverOptions) {
  /** After a late head, waits for what its sender has sent since: it may have cancelled the call. */
  const readCancels = async (call: IncomingCall, deadline: CallDeadline, signal: CancelSignal): Promise<void> => {
    const caughtUp = call.linkCaughtUp()
    if (caughtUp === undefined) return
    await withTimeout(clock, deadline.remainingMs() * LINK_WAIT_SHARE, caughtUp.then(() => call), signal)
  }

  const claimKey = async (call: IncomingCall, deadline: CallDeadline, signal: CancelSignal): Promise<ReceivedCall> => {
    const { head } = call
    if (head.claim === undefined) return { kind: 'ready', body: undefined, guardedRun: undefined }
    // Checks the level first: a call that the gate refuses after its key was claimed costs the key register two quorum rounds, one for the
    // claim and one for its release.
    const { level } = gate.load()
    if (head.root.priority < Math.floor(level)) {
      return { kind: 'refused', refusal: notRun('overloaded', `calls of priority ${head.root.priority} are refused below level ${Math.ceil(level)}`, 1) }
    }
    call.accept()
    const bytes = head.bodyBytes === 0 ? new Uint8Array(0) : await readUntilAborted(call, HASHED_BODY_LIMIT_BYTES, signal)
    if (bytes === 'cut') return { kind: 'refused', refusal: bodyCut() }
    if (bytes === undefined) return { kind: 'refused', refusal: notRun('body-too-large', `the body exceeds ${HASHED_BODY_LIMIT_BYTES} bytes`) }
    const decision = await guard.begin({
      customer: head.root.customer,
      key: head.claim.key,
      token: head.claim.token,
      opKey: head.opKey,
      requestHash: requestHashOf(head.method, `/${head.service}${head.path}`, bytes),
      deadlineMs: deadline.deadlineMs,
      signal
    })
    switch (decision.kind) {
      case 'dispatch': return { kind: 'ready', body: bytes, guardedRun: decision.run }
      case 'replay': return { kind: 'replay', response: decision.answer }
      case 'refuse': return { kind: 'refused', refusal: decision.refusal }
    }
  }

  return async (call: IncomingCall, deadline: CallDeadline, signal: CancelSignal): Promise<ReceivedCall> => {
    const unavailable = callRefusal(call.head) ?? noTargetRefusal(call, target)
    if (unavailable !== undefined) return { kind: 'refused', refusal: unavailable }
    if (deadline.remainingMs() <= 0) {
      return { kind: 'refused', refusal: notRun('deadline-exceeded', 'the deadline had passed when the call arrived') }
    }
    await readCancels(call, deadline, signal)
    return await claimKey(call, deadline, signal)
  }
}

/** Refusal of a call for which there is no target beside this node. */
export function noTargetRefusal (call: IncomingCall, target: Pick<LocalTarget, 'current'>): Refusal | undefined {
  const announced = target.current()?.announcement
  if (announced === undefined) return notRun('no-target', 'no target has announced itself beside this node', 1)
  if (announced.service !== call.head.service) return notRun('no-target', `the target beside this node serves "${announced.service}"`, 1)
  return undefined
}
