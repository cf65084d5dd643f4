import {
  formatTraceParent, HEADERS, notRun, unknownOutcome,
  type CallEnd, type Clock, type Permit, type Refusal, type StoredAnswer, type TargetGate
} from '@orioleslip/core'
import { readAll, type ByteQueue } from '../links/byte-queue.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { CallReport, ResponseHead } from '../links/messages.js'
import type { Announcement, LocalTarget } from '../target/local-target.js'
import type { TargetBody, TargetReply } from '../target/target-client.js'
import { startDeadline, type CallDeadline } from './call-deadline.js'
import type { InboundCall, InboundCalls } from './inbound-calls.js'
import { BUFFERED_BODY_LIMIT_BYTES } from './request-body.js'
import { createAnswerRecorder, STORED_ANSWER_BODY_BYTES } from '../idempotency/answer-recorder.js'
import type { OnceGuard, OnceRun } from '../idempotency/once-guard.js'
import { HASHED_BODY_LIMIT_BYTES, requestHashOf } from '../idempotency/request-hash.js'

export type ExecutorOptions = {
  target: LocalTarget
  gate: TargetGate
  inbound: InboundCalls
  guard: Pick<OnceGuard, 'begin'>
  clock: Clock
  /** A refusal for every new call while this node must not take any; undefined otherwise. */
  closedFor: () => Refusal | undefined
  /** Headers that the target gets; by default those of this project's own interface. */
  targetHeaders?: TargetHeaders
  /** Says why an answer is none to the call that was sent, or that the target did not run it. */
  judgeAnswer?: (call: IncomingCall, reply: Pick<TargetHead, 'status' | 'headers'>) => Refusal | undefined
  /** Called for each call that came to nothing here, with the load that the decision was based on. */
  onRefused?: (call: IncomingCall, refusal: Refusal, report: CallReport) => void
}

type TargetHead = Extract<TargetReply, { kind: 'head' }>

/** Builds the headers of a call to the target beside this node. */
export type TargetHeaders = (call: IncomingCall, deadline: CallDeadline, self: InboundCall, target: Announcement) => string[]

/** Runs calls of other nodes at the target beside this one. */
export function createExecutor (options: ExecutorOptions) {
  const { target, gate, inbound, guard, clock } = options
  const { targetHeaders = ownHeaders, judgeAnswer = () => undefined, onRefused = () => {} } = options

  const reportOf = (call: InboundCall): CallReport => {
    const load = gate.load()
    return { pathLevel: Math.max(load.level, call.childLevel()), regionBytes: call.childRegionBytes(), load }
  }

  const refuseCall = (call: IncomingCall, refusal: Refusal, report: CallReport): void => {
    onRefused(call, refusal, report)
    call.refuse(refusal, report)
  }

  const run = async (call: IncomingCall, deadline: CallDeadline, self: InboundCall): Promise<void> => {
    const refuse = (refusal: Refusal) => refuseCall(call, refusal, reportOf(self))
    const closed = options.closedFor() ?? noTarget(call, target)
    if (closed !== undefined) return refuse(closed)
    if (deadline.remainingMs() <= 0) return refuse(notRun('deadline-exceeded', 'the deadline had passed when the call arrived'))
    const prepared = await prepare(call, deadline)
    switch (prepared.kind) {
      case 'refused': return refuse(prepared.refusal)
      case 'replay': return replay(call, prepared.answer, reportOf(self))
      case 'ready': return execute({ call, deadline, self, bytes: prepared.body, once: prepared.once })
    }
  }

  const prepare = async (call: IncomingCall, deadline: CallDeadline): Promise<Prepared> => {
    const { head } = call
    if (head.once === undefined) return { kind: 'ready', body: undefined, once: undefined }
    // A claim that the gate would refuse afterwards costs the register two quorum rounds, a claim and its release.
    const { level } = gate.load()
    if (head.root.priority < Math.floor(level)) {
      return { kind: 'refused', refusal: notRun('overloaded', `calls of priority ${head.root.priority} are refused below level ${Math.ceil(level)}`, 1) }
    }
    call.accept()
    const bytes = head.bodyBytes === 0 ? new Uint8Array(0) : await readAll(call.body, HASHED_BODY_LIMIT_BYTES)
    if (bytes === undefined) return { kind: 'refused', refusal: notRun('body-too-large', `the body exceeds ${HASHED_BODY_LIMIT_BYTES} bytes`) }
    const begun = await guard.begin({
      customer: head.root.customer,
      key: head.once.key,
      token: head.once.token,
      opKey: head.opKey,
      requestHash: requestHashOf(head.method, `/${head.service}${head.path}`, bytes),
      deadlineMs: deadline.deadlineMs,
      signal: deadline.signal
    })
    switch (begun.kind) {
      case 'dispatch': return { kind: 'ready', body: bytes, once: begun.run }
      case 'replay': return { kind: 'replay', answer: begun.answer }
      case 'refuse': return { kind: 'refused', refusal: begun.refusal }
    }
  }

  const execute = async ({ call, deadline, self, bytes, once }: ReadyCall): Promise<void> => {
    const { head } = call
    const entered = await gate.enter({
      priority: head.root.priority,
      opKey: head.opKey,
      remainingMs: deadline.remainingMs(),
      signal: deadline.signal
    })
    if (entered.kind === 'refused') {
      releaseClaim(once)
      return refuseCall(call, entered.refusal, reportOf(self))
    }
    const { permit } = entered
    const startedMs = clock.nowMs()
    const latencyMs = () => clock.nowMs() - startedMs
    const current = target.current()
    if (current === undefined || deadline.signal.aborted) {
      permit.release({ kind: 'cancelled', latencyMs: 0 })
      releaseClaim(once)
      return refuseCall(call, notRun('deadline-exceeded', 'the call was cancelled or its deadline passed before it was sent to the target'), reportOf(self))
    }
    const body = await targetBody(call, bytes)
    const reply = await current.client.run({
      method: head.method,
      path: head.path,
      headers: targetHeaders(call, deadline, self, current.announcement),
      body,
      signal: deadline.signal
    })
    if (reply.kind === 'failed') return finishFailed({ call, deadline, self, permit, once, latencyMs, reply })
    const judged = judgeAnswer(call, reply)
    if (judged !== undefined) {
      reply.abort()
      permit.release({ kind: judged.outcome === 'not-run' ? 'targetShed' : 'failed', latencyMs: latencyMs() })
      if (judged.outcome === 'not-run') releaseClaim(once)
      return refuseCall(call, judged, { ...reportOf(self), reachedTarget: true })
    }
    const end = await passAnswer({ call, self, once, reply, report: () => reportOf(self), refuse: refuseCall })
    permit.release(endOf({ end, status: reply.status, latencyMs: latencyMs(), self }, deadline))
  }

  const finishFailed = ({ call, deadline, self, permit, once, latencyMs, reply }: FailedCall) => {
    permit.release({ kind: deadline.signal.aborted ? 'cancelled' : 'failed', latencyMs: latencyMs() })
    if (!reply.sent) releaseClaim(once)
    const isGivenUp = deadline.signal.aborted
    const code = isGivenUp ? 'deadline-exceeded' : 'target-lost'
    const detail = isGivenUp ? `the target had given no answer after ${Math.round(latencyMs())} ms, when the call was given up` : reply.message
    const refusal = reply.sent ? unknownOutcome(code, detail) : notRun(code, detail, 1)
    refuseCall(call, refusal, { ...reportOf(self), reachedTarget: reply.sent })
  }

  return {
    /** Runs one call to its end; never rejects. */
    execute: (call: IncomingCall): void => {
      // A non-repeatable call goes on when its caller has gone: its recorded answer is what a resend gets.
      const deadline = startDeadline(call.head.remainingMs, clock.nowMs, call.head.once === undefined ? call.signal : undefined)
      const self = inbound.open({
        root: call.head.root,
        traceFlags: call.head.traceFlags,
        deadlineMs: deadline.deadlineMs,
        signal: deadline.signal
      })
      run(call, deadline, self)
        .catch((err: unknown) => refuseCall(call, unknownOutcome('internal-error', `the node beside the target failed: ${String(err)}`), reportOf(self)))
        .finally(() => {
          deadline.done()
          inbound.close(self)
          // Calls that the target started for this one and did not wait for are cancelled.
          deadline.cancel()
        })
    }
  }
}

type Prepared =
  | { kind: 'ready', body: Uint8Array | undefined, once: OnceRun | undefined }
  | { kind: 'replay', answer: StoredAnswer }
  | { kind: 'refused', refusal: Refusal }

type ReadyCall = {
  call: IncomingCall
  deadline: CallDeadline
  self: InboundCall
  /** Body of a non-repeatable call, already read; undefined for the others. */
  bytes: Uint8Array | undefined
  once: OnceRun | undefined
}

type FailedCall = Omit<ReadyCall, 'bytes'> & {
  permit: Permit
  latencyMs: () => number
  reply: Extract<TargetReply, { kind: 'failed' }>
}

/** The release goes on in the background; the refusal is true at once, since this executor does not dispatch any more. */
function releaseClaim (once: OnceRun | undefined): void {
  once?.notSent().catch(() => undefined)
}

function noTarget (call: IncomingCall, target: LocalTarget): Refusal | undefined {
  const announced = target.current()?.announcement
  if (announced === undefined) return notRun('no-target', 'no target has announced itself beside this node', 1)
  if (announced.service !== call.head.service) return notRun('no-target', `the target beside this node offers "${announced.service}"`, 1)
  return undefined
}

function replay (call: IncomingCall, answer: StoredAnswer, report: CallReport): void {
  call.respond({ status: answer.status, headers: answer.headers })
  call.write(answer.body)
  call.end(report)
}

async function targetBody (call: IncomingCall, bytes: Uint8Array | undefined): Promise<TargetBody> {
  if (bytes !== undefined) return bytes.length === 0 ? { kind: 'none' } : { kind: 'buffered', bytes }
  const { bodyBytes } = call.head
  if (bodyBytes === 0) return { kind: 'none' }
  call.accept()
  if (bodyBytes === undefined || bodyBytes > BUFFERED_BODY_LIMIT_BYTES) return { kind: 'stream', queue: call.body }
  const whole = await readAll(call.body, BUFFERED_BODY_LIMIT_BYTES)
  return whole === undefined ? { kind: 'none' } : { kind: 'buffered', bytes: whole }
}

function ownHeaders (call: IncomingCall, deadline: CallDeadline, self: InboundCall): string[] {
  const headers: string[] = []
  const own = new Set<string>([HEADERS.traceparent, HEADERS.timeoutMs, HEADERS.requestId])
  const raw = call.head.headers
  for (let i = 0; i + 1 < raw.length; i += 2) if (!own.has(raw[i]!)) headers.push(raw[i]!, raw[i + 1]!)
  headers.push(HEADERS.traceparent, formatTraceParent({ traceId: self.root.traceId, spanId: self.spanId, flags: self.traceFlags }))
  headers.push(HEADERS.timeoutMs, String(Math.max(1, Math.floor(deadline.remainingMs()))))
  headers.push(HEADERS.requestId, self.root.requestId)
  return headers
}

type AnswerEnd = 'complete' | 'cut'

type AnswerPassage = {
  call: IncomingCall
  self: InboundCall
  once: OnceRun | undefined
  reply: Extract<TargetReply, { kind: 'head' }>
  report: () => CallReport
  refuse: (call: IncomingCall, refusal: Refusal, report: CallReport) => void
}

async function passAnswer (passage: AnswerPassage): Promise<AnswerEnd> {
  const { call, once, reply, report, refuse } = passage
  try {
    if (once !== undefined) {
      await recordAnswer(passage, once)
    } else {
      call.respond({ status: reply.status, headers: reply.headers, ...(reply.unframed ? { unframed: true } : {}) })
      await pumpAnswer(call, reply.body, () => {})
    }
    call.end(report())
    return 'complete'
  } catch (err) {
    // The target's answer broke off; the caller must not take what it has for the whole.
    refuse(call, unknownOutcome('bad-answer', `the target's answer broke off: ${err instanceof Error ? err.message : String(err)}`), report())
    return 'cut'
  }
}

async function pumpAnswer (call: IncomingCall, body: Pick<ByteQueue, 'read'>, onChunk: (chunk: Uint8Array) => void): Promise<void> {
  for (;;) {
    const chunk = await body.read()
    if (chunk === undefined) return
    onChunk(chunk)
    const wait = call.write(chunk)
    if (wait !== undefined) await wait
  }
}

/** Holds a small answer back until its run is recorded; a larger one is passed on and recorded without its body. */
async function recordAnswer ({ call, reply }: AnswerPassage, once: OnceRun): Promise<void> {
  const head: ResponseHead = { status: reply.status, headers: reply.headers }
  const recorder = createAnswerRecorder(reply.status, reply.headers)
  const held: Uint8Array[] = []
  let heldBytes = 0
  let passing = false
  for (;;) {
    const chunk = await reply.body.read()
    if (chunk === undefined) break
    recorder.add(chunk)
    if (passing) {
      await call.write(chunk)
      continue
    }
    held.push(chunk)
    heldBytes += chunk.length
    if (heldBytes <= STORED_ANSWER_BODY_BYTES) continue
    passing = true
    call.respond(head)
    for (const part of held) await call.write(part)
  }
  // Recorded before the caller has the last byte: a caller that saw the end gets the same answer when it resends.
  // While the register is out of reach this resolves after a second, and the record follows in the background.
  await once.finished(recorder.done())
  if (passing) return
  call.respond(head)
  for (const part of held) await call.write(part)
}

type TargetEnd = { end: AnswerEnd, status: number, latencyMs: number, self: InboundCall }

function endOf ({ end, status, latencyMs, self }: TargetEnd, deadline: CallDeadline): CallEnd {
  if (deadline.signal.aborted) return { kind: 'cancelled', latencyMs }
  if (end === 'cut') return { kind: 'failed', latencyMs }
  // A target that passes on the refusal of its own call is not overloaded itself; its limit must stay.
  if (self.anyChildRefused() && status >= 400) return { kind: 'failed', latencyMs }
  if (status === 503 || status === 429) return { kind: 'targetShed', latencyMs }
  return { kind: 'answered', latencyMs, downstreamMs: self.downstreamMs() }
}
