import {
  createCanceller, HEADERS, notRun, unknownOutcome,
  type CallEnd, type CancelSignal, type Permit, type Refusal, type StoredResponse, type TargetGate
} from '@orioleslip/core'
import type { RunningCall } from '../crashes/crash-detector.js'
import { noCrashGuard, type ExecutorCrashes } from '../crashes/no-crash-guard.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { CallHead, CallReport } from '../links/messages.js'
import { isSameProcess, type Announcement, type LocalTarget } from '../target/local-target.js'
import type { ResponseTransferState, TargetReply } from '../target/target-client.js'
import { cancelCode, startDeadline, type CallDeadline } from './call-deadline.js'
import { defaultTargetHeaders } from './default-target-headers.js'
import { createCallReceiver, noTargetRefusal, type CallReceiverOptions } from './call-receiver.js'
import type { InboundCall, InboundCalls } from './inbound-calls.js'
import { forwardResponse, type ResponseEnd } from './forward-response.js'
import { createResponseCount } from './response-count.js'
import { receiveTargetBody } from './target-body.js'
import { trackUnsentCall, type UnsentCall } from './unsent-call.js'
import type { GuardedRun } from '../idempotency/idempotency-guard.js'
import { createNoticeReader, type TargetNotices } from '../target/target-notices.js'
import { processReads, type SocketReads } from '../net/socket-reads.js'

/** Dependencies of `createExecutor`. */
export type ExecutorOptions = CallReceiverOptions & {
  target: LocalTarget
  gate: TargetGate
  inbound: InboundCalls
  /** Keeps requests that end targets from ending further ones; by default nothing does. */
  crashes?: ExecutorCrashes
  /** What has been read when a call is sent to the target; its cancel may wait behind it. */
  reads?: Pick<SocketReads, 'caughtUp'>
  /** Refusal for an accepted call that has waited and must not be sent to the target any more; undefined otherwise. */
  sendRefusal?: () => Refusal | undefined
  /** Aborts when this node takes back all calls that it has not sent to the target; never by default. */
  recalled?: CancelSignal
  /** Aborts when the drain of this node ends, and with it the calls that have no response; never by default. */
  drainEnded?: CancelSignal
  /** Builds the headers sent to the target; by default those of orioleslip's own HTTP interface. */
  targetHeaders?: TargetHeaders
  /** True for a response whose headers show that it belongs to another call; its connection is closed and not used again. */
  isForeignResponse?: (call: IncomingCall, headers: readonly string[]) => boolean
  /** Reads from a response whether the target ran the call; by default each response says so. */
  checkResponse?: (reply: Pick<TargetHead, 'status' | 'headers'>) => ResponseCheck
  /** Reads what the target says of itself in a response; by default in the headers of orioleslip's own HTTP interface. */
  readNotices?: (headers: readonly string[]) => TargetNotices
  /** Called for each call that is sent to the target, with its waits until then. */
  onSent?: (call: IncomingCall, waits: SendWaits) => void
  /** Called for each response of the announced target process. */
  onNotices?: (announcement: Announcement, notices: TargetNotices) => void
  /** Called for each call refused here, with the load that the decision was based on. */
  onRefused?: (call: IncomingCall, refusal: Refusal, report: CallReport) => void
  /** Called for each response without a length, once it has ended. */
  onUnframed?: (call: IncomingCall, response: UnframedResponse) => void
}

/** Waits of a call before it was sent to the target, in ms: on its way from the other node, and at this one since its head was read. */
export type SendWaits = { linkMs: number, heldMs: number }

/** A response without a length, which ends with its connection. */
export type UnframedResponse = ResponseTransferState & { end: ResponseEnd, latencyMs: number }

/** What a response says about the run of its call. */
export type ResponseCheck =
  | { kind: 'ran' }
  | { kind: 'not-run', refusal: Refusal }
  /** Another process than the announced one has responded, and did not run the call. */
  | { kind: 'misdirected', refusal: Refusal }

type TargetHead = Extract<TargetReply, { kind: 'head' }>

/** Builds the headers of a call to the local target. */
export type TargetHeaders = (call: IncomingCall, deadline: CallDeadline, self: InboundCall, target: Announcement) => string[]

const { signal: never } = createCanceller()

/** Creates the executor, which runs calls at the target on this VM. */
export function createExecutor (options: ExecutorOptions) {
  const { target, gate, inbound, clock } = options
  const { targetHeaders = defaultTargetHeaders, isForeignResponse = () => false } = options
  const { checkResponse = () => ({ kind: 'ran' }), readNotices = createNoticeReader(HEADERS) } = options
  const { sendRefusal = () => undefined, onRefused = () => {}, onSent = () => {}, onNotices = () => {} } = options
  const { onUnframed = () => {}, recalled = never, drainEnded = never, reads = processReads } = options

  const receive = createCallReceiver(options)
  const responses = createResponseCount(clock)

  /** Calls from nodes of earlier versions have no fingerprint by which they could be told apart. */
  const crashGuardOf = ({ fingerprint }: CallHead): GuardedCall =>
    fingerprint === undefined || options.crashes === undefined
      ? { fingerprint: 0, crashes: noCrashGuard }
      : { fingerprint, crashes: options.crashes }

  const reportOf = (call: InboundCall): CallReport => {
    const load = gate.load()
    const leavingProcess = target.leavingProcess()
    const report: CallReport = { pathLevel: Math.max(load.level, call.childLevel()), regionBytes: call.childRegionBytes(), load }
    return leavingProcess === undefined ? report : { ...report, leavingProcess }
  }

  const refuseCall = (call: IncomingCall, refusal: Refusal, report: CallReport): void => {
    onRefused(call, refusal, report)
    call.refuse(refusal, report)
  }

  const run = async (call: IncomingCall, deadline: CallDeadline, self: InboundCall, unsent: UnsentCall): Promise<void> => {
    const refuse = (refusal: Refusal) => refuseCall(call, unsent.refusalOf(refusal), reportOf(self))
    const received = await receive(call, deadline, unsent.signal)
    switch (received.kind) {
      case 'refused': return refuse(received.refusal)
      case 'replay': return replay(call, received.response, reportOf(self))
      case 'ready': return execute({ call, deadline, self, unsent, bytes: received.body, guardedRun: received.guardedRun })
    }
  }

  /** Applies what the target process `sender` says of itself, unless another process has replaced it. */
  const applyNotices = (sender: Announcement, notices: TargetNotices): void => {
    const announced = target.current()?.announcement
    if (announced === undefined || !isSameProcess(announced, sender)) return
    const { rateLimit } = notices
    if (rateLimit.kind !== 'malformed') gate.setRateLimit(rateLimit.kind === 'named' ? rateLimit.perSecond : undefined)
    onNotices(sender, notices)
  }

  const refuseUnsentCall = ({ call, self, unsent, guardedRun }: ReadyCall, refusal: Refusal): void => {
    releaseClaim(guardedRun)
    refuseCall(call, unsent.refusalOf(refusal), reportOf(self))
  }

  const execute = async (ready: ReadyCall): Promise<void> => {
    const { call, unsent } = ready
    const guarded = crashGuardOf(call.head)
    const { fingerprint, crashes } = guarded
    const pending = crashes.admit(fingerprint, call.head.service, unsent.signal)
    const admission = pending instanceof Promise ? await pending : pending
    if (admission.kind === 'refused') return refuseUnsentCall(ready, admission.refusal)
    try {
      await runAtTarget(ready, guarded, admission.asSuspect)
    } finally {
      admission.release()
    }
  }

  const runAtTarget = async (ready: ReadyCall, { fingerprint, crashes }: GuardedCall, asSuspect: boolean): Promise<void> => {
    const { call, deadline, self, unsent, bytes, guardedRun } = ready
    const { head } = call
    const entered = await gate.enter({
      priority: head.root.priority,
      opKey: head.opKey,
      remainingMs: deadline.remainingMs(),
      signal: unsent.signal
    })
    if (entered.kind === 'refused') return refuseUnsentCall(ready, entered.refusal)
    const { permit } = entered
    const refuseUnsent = (refusal: Refusal) => {
      permit.release({ kind: 'notSent' })
      refuseUnsentCall(ready, refusal)
    }
    const body = await receiveTargetBody(call, bytes, unsent.signal)
    if (body.isErr()) return refuseUnsent(body.error)
    const unread = reads.caughtUp()
    if (unread !== undefined) await unread
    const current = target.current()
    // The timer of the deadline may run a turn later than what has been read, and this process may have been late.
    if (unsent.signal.aborted || deadline.remainingMs() <= 0) {
      return refuseUnsent(notRun('deadline-exceeded', 'the call was cancelled or its deadline passed before it was sent to the target'))
    }
    if (current === undefined) return refuseUnsent(notRun('no-target', 'the target process has ended', 1))
    // While the call waited, the target may have left, or another process may have got its address.
    const unavailable = sendRefusal() ?? noTargetRefusal(call, target)
    if (unavailable !== undefined) return refuseUnsent(unavailable)
    const crashRefusal = crashes.refusalBeforeSend(fingerprint, asSuspect)
    if (crashRefusal !== undefined) return refuseUnsent(crashRefusal)
    unsent.done()
    const running = crashes.started(fingerprint, current.announcement)
    const startedMs = clock.nowMs()
    const latencyMs = () => clock.nowMs() - startedMs
    const others = responses.countOthers()
    onSent(call, { linkMs: call.waitedMs, heldMs: startedMs - self.openedMs })
    const reply = await current.client.run({
      method: head.method,
      path: head.path,
      headers: targetHeaders(call, deadline, self, current.announcement),
      body: body.value,
      signal: deadline.signal,
      remainingMs: deadline.remainingMs,
      isForeign: (headers) => isForeignResponse(call, headers)
    })
    if (reply.kind !== 'failed') responses.add()
    if (reply.kind === 'foreign') {
      running.ended()
      permit.release({ kind: 'failed', latencyMs: latencyMs() })
      const refusal = unknownOutcome('bad-answer', 'the target sent the response to another request')
      return refuseCall(call, refusal, { ...reportOf(self), reachedTarget: true })
    }
    if (reply.kind === 'failed') return await finishFailed({ call, deadline, self, permit, guardedRun, latencyMs, others, reply, running })
    const check = checkResponse(reply)
    if (check.kind !== 'misdirected') applyNotices(current.announcement, readNotices(reply.headers))
    if (check.kind !== 'ran') {
      running.ended()
      reply.abort()
      permit.release({ kind: check.kind === 'not-run' ? 'targetShed' : 'failed', latencyMs: latencyMs() })
      releaseClaim(guardedRun)
      return refuseCall(call, check.refusal, { ...reportOf(self), reachedTarget: true })
    }
    const end = await forwardResponse({ call, guardedRun, reply, deadline, report: () => reportOf(self), refuse: refuseCall })
    if (reply.unframed) onUnframed(call, { ...reply.transfer(), end, latencyMs: latencyMs() })
    if (end === 'complete') crashes.completed(running, head.service)
    else lost(running, deadline)
    permit.release(callEndOf({ end, status: reply.status, latencyMs: latencyMs(), self }, deadline))
  }

  /** Resolves with true if the connection was lost because the target process has ended by itself. */
  const lost = async (running: RunningCall, deadline: CallDeadline): Promise<boolean> => {
    const isLeaving = target.leavingProcess() !== undefined || target.current()?.announcement.state === 'leaving'
    if (!deadline.signal.aborted && !isLeaving) return await running.lost()
    running.ended()
    return false
  }

  const finishFailed = async (failed: FailedCall): Promise<void> => {
    const { call, deadline, self, permit, guardedRun, latencyMs, others, reply, running } = failed
    const isCancelled = deadline.signal.aborted || (!reply.sent && deadline.remainingMs() <= 0)
    permit.release({ kind: isCancelled ? 'cancelled' : 'failed', latencyMs: latencyMs() })
    if (!reply.sent) releaseClaim(guardedRun)
    const hasCrashed = reply.sent && !isCancelled ? await lost(running, deadline) : false
    // Whoever sends the call again is told of the crash first, see `onCrash` of the guard.
    running.ended()
    const code = isCancelled ? cancelCode(deadline) : 'target-lost'
    const failure = hasCrashed ? 'the target process ended while it ran the call' : reply.message
    const detail = isCancelled ? cancelDetail(reply.sent, latencyMs(), others) : failure
    const refusal = reply.sent ? unknownOutcome(code, detail) : notRun(code, detail, 1)
    refuseCall(call, refusal, { ...reportOf(self), reachedTarget: reply.sent })
  }

  return {
    /** Runs one call to its end; never rejects. */
    execute: (call: IncomingCall): void => {
      // A non-repeatable call continues after its caller has disconnected: a resend then gets its recorded response.
      const remainingMs = call.head.remainingMs - call.waitedMs
      const deadline = startDeadline(remainingMs, clock.nowMs, {
        parent: call.head.claim === undefined ? call.signal : undefined,
        drain: { ended: drainEnded, hasResponse: call.hasResponse }
      })
      const self = inbound.open({
        root: call.head.root,
        traceFlags: call.head.traceFlags,
        deadlineMs: deadline.deadlineMs,
        signal: deadline.signal
      })
      const unsent = trackUnsentCall(deadline.signal, [call.recalled, recalled])
      run(call, deadline, self, unsent)
        .catch((err: unknown) => refuseCall(call, unknownOutcome('internal-error', `the executor failed: ${String(err)}`), reportOf(self)))
        .finally(() => {
          unsent.done()
          deadline.done()
          inbound.close(self)
          // Cancels child calls that the target started for this call and did not wait for.
          deadline.cancel()
        })
    }
  }
}

type ReadyCall = {
  call: IncomingCall
  deadline: CallDeadline
  self: InboundCall
  unsent: UnsentCall
  /** Body of a non-repeatable call, which has been read already; undefined for repeatable calls. */
  bytes: Uint8Array | undefined
  guardedRun: GuardedRun | undefined
}

/** Fingerprint of a call and the guard that judges it. */
type GuardedCall = { fingerprint: number, crashes: ExecutorCrashes }

type FailedCall = Omit<ReadyCall, 'bytes' | 'unsent'> & {
  permit: Permit
  latencyMs: () => number
  /** Says how many other calls the target has responded to meanwhile. */
  others: () => string
  reply: Extract<TargetReply, { kind: 'failed' }>
  running: RunningCall
}

/** Releases a claim in the background. The refusal need not wait for it, since this executor does not dispatch the call any more. */
function releaseClaim (guardedRun: GuardedRun | undefined): void {
  guardedRun?.notSent().catch(() => undefined)
}

function cancelDetail (isSent: boolean, latencyMs: number, others: () => string): string {
  return isSent
    ? `the target had sent no response after ${Math.round(latencyMs)} ms, when the call was cancelled; ${others()}`
    : `the call had waited for a connection to the target for ${Math.round(latencyMs)} ms, when it was cancelled or its deadline passed`
}

function replay (call: IncomingCall, response: StoredResponse, report: CallReport): void {
  call.respond({ status: response.status, headers: response.headers })
  call.write(response.body)
  call.end(report)
}

type TargetEnd = { end: ResponseEnd, status: number, latencyMs: number, self: InboundCall }

function callEndOf ({ end, status, latencyMs, self }: TargetEnd, deadline: CallDeadline): CallEnd {
  if (deadline.signal.aborted) return { kind: 'cancelled', latencyMs }
  if (end === 'cut') return { kind: 'failed', latencyMs }
  // An error response after a refused child call may only pass that refusal on; it must not lower the limit of this target.
  if (self.anyChildRefused() && status >= 400) return { kind: 'failed', latencyMs }
  if (status === 503 || status === 429) return { kind: 'targetShed', latencyMs }
  return { kind: 'answered', latencyMs, downstreamMs: self.downstreamMs() }
}
