import { headerValue, unknownOutcome, type Refusal } from '@orioleslip/core'
import type { GuardedRun } from '../idempotency/idempotency-guard.js'
import { createResponseRecorder, STORED_RESPONSE_BODY_BYTES } from '../idempotency/response-recorder.js'
import type { ByteQueue } from '../links/byte-queue.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { CallReport, ResponseHead } from '../links/messages.js'
import type { TargetReply } from '../target/target-client.js'
import { cancelCode, type CallDeadline } from './call-deadline.js'
import { createHeldBody } from './held-body.js'
import { createHeldResponse } from './held-response.js'

/** How a response ended: a cut one was refused after its head had possibly been forwarded. */
export type ResponseEnd = 'complete' | 'cut'

/** A response of the local target and the call that it is forwarded to. */
export type ResponseTransfer = {
  call: IncomingCall
  guardedRun: GuardedRun | undefined
  reply: Extract<TargetReply, { kind: 'head' }>
  deadline: Pick<CallDeadline, 'signal' | 'drained'>
  report: () => CallReport
  refuse: (call: IncomingCall, refusal: Refusal, report: CallReport) => void
}

/** Largest response with a length or chunks that is held until it is whole, in bytes; less than the window of a call. */
const HELD_FRAMED_BYTES = 64 * 1024
/** Longest time for which a response in chunks is held, in ms: its target may go on writing it for long. */
const HELD_CHUNKS_MS = 100

/** Forwards a response to the caller; a recorded one is held back until its run has been recorded. */
export async function forwardResponse (transfer: ResponseTransfer): Promise<ResponseEnd> {
  const { call, guardedRun, reply, deadline, report, refuse } = transfer
  try {
    if (guardedRun !== undefined) {
      await recordResponse(transfer, guardedRun)
    } else if (reply.unframed) {
      await forwardUnframed(transfer)
    } else {
      await forwardFramed(transfer)
    }
    call.end(report())
    return 'complete'
  } catch (err) {
    // The caller must not take the part that it has received for a complete response.
    const code = deadline.signal.aborted ? cancelCode(deadline) : 'bad-answer'
    refuse(call, unknownOutcome(code, `the target's response was cut off: ${err instanceof Error ? err.message : String(err)}`), { ...report(), reachedTarget: true })
    return 'cut'
  }
}

/** Holds a response without a length until its end has been checked, so that one which is cut can be refused, and sent again elsewhere. */
async function forwardUnframed ({ call, reply }: ResponseTransfer): Promise<void> {
  const held = createHeldBody()
  try {
    const isWhole = await held.hold(reply.body)
    call.respond({ status: reply.status, headers: reply.headers, unframed: true })
    for (let chunk = held.chunks.shift(); chunk !== undefined; chunk = held.chunks.shift()) await call.write(chunk)
    if (!isWhole) await pipeBody(call, reply.body)
  } finally {
    held.release()
  }
}

/** Holds a small response for a while, since only the end of its connection tells the caller of a cut once the head has been sent. */
async function forwardFramed ({ call, reply }: ResponseTransfer): Promise<void> {
  const head: ResponseHead = { status: reply.status, headers: reply.headers }
  // Most responses are small and arrive whole.
  const whole = reply.body.takeRest()
  if (whole !== undefined) {
    call.respond(head)
    if (whole.length > 0) await call.write(whole)
    return
  }
  const length = headerValue(reply.headers, 'content-length')
  if (Number(length ?? 0) > HELD_FRAMED_BYTES) {
    call.respond(head)
    return await pipeBody(call, reply.body)
  }
  const held = createHeldResponse(call, head, HELD_FRAMED_BYTES)
  const timer = length === undefined ? setTimeout(held.release, HELD_CHUNKS_MS) : undefined
  try {
    await pipeBody(held, reply.body)
    held.release()
  } finally {
    clearTimeout(timer)
  }
}

async function pipeBody (call: Pick<IncomingCall, 'write'>, body: Pick<ByteQueue, 'read'>): Promise<void> {
  for (let chunk = await body.read(); chunk !== undefined; chunk = await body.read()) {
    const wait = call.write(chunk)
    if (wait !== undefined) await wait
  }
}

/** Holds a small response back until its run is recorded; a larger one is forwarded while it arrives and recorded without its body. */
async function recordResponse ({ call, reply }: ResponseTransfer, guardedRun: GuardedRun): Promise<void> {
  const head: ResponseHead = { status: reply.status, headers: reply.headers }
  const recorder = createResponseRecorder(reply.status, reply.headers)
  const held = createHeldResponse(call, head, STORED_RESPONSE_BODY_BYTES)
  for (let chunk = await reply.body.read(); chunk !== undefined; chunk = await reply.body.read()) {
    recorder.add(chunk)
    await held.write(chunk)
  }
  // Records the run before the response ends, so that a caller that received the complete response gets the same one for a resend.
  // While the key register is unreachable this resolves after 1 s, and the run is recorded in the background.
  await guardedRun.finished(recorder.done())
  held.release()
}
