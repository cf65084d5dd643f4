import { unknownOutcome, type Refusal } from '@orioleslip/core'
import type { GuardedRun } from '../idempotency/idempotency-guard.js'
import { createResponseRecorder, STORED_RESPONSE_BODY_BYTES } from '../idempotency/response-recorder.js'
import type { ByteQueue } from '../links/byte-queue.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { CallReport, ResponseHead } from '../links/messages.js'
import type { TargetReply } from '../target/target-client.js'
import { createHeldBody } from './held-body.js'

/** How a response ended: a cut one was refused after its head had possibly been forwarded. */
export type ResponseEnd = 'complete' | 'cut'

/** A response of the local target and the call that it is forwarded to. */
export type ResponseTransfer = {
  call: IncomingCall
  guardedRun: GuardedRun | undefined
  reply: Extract<TargetReply, { kind: 'head' }>
  report: () => CallReport
  refuse: (call: IncomingCall, refusal: Refusal, report: CallReport) => void
}

/** Forwards a response to the caller; a recorded one is held back until its run has been recorded. */
export async function forwardResponse (transfer: ResponseTransfer): Promise<ResponseEnd> {
  const { call, guardedRun, reply, report, refuse } = transfer
  try {
    if (guardedRun !== undefined) {
      await recordResponse(transfer, guardedRun)
    } else if (reply.unframed) {
      await forwardUnframed(transfer)
    } else {
      call.respond({ status: reply.status, headers: reply.headers })
      await pipeBody(call, reply.body)
    }
    call.end(report())
    return 'complete'
  } catch (err) {
    // The caller must not take the part that it has received for a complete response.
    refuse(call, unknownOutcome('bad-answer', `the target's response was cut off: ${err instanceof Error ? err.message : String(err)}`), { ...report(), reachedTarget: true })
    return 'cut'
  }
}

/** Holds a response without a length until its end has been checked, so that one which is cut can be refused, and sent again elsewhere. */
async function forwardUnframed ({ call, reply }: ResponseTransfer): Promise<void> {
  const held = createHeldBody()
  try {
    const isWhole = await held.hold(reply.body)
    call.respond({ status: reply.status, headers: reply.headers, unframed: true })
    for (const chunk of held.chunks()) await call.write(chunk)
    if (!isWhole) await pipeBody(call, reply.body)
  } finally {
    held.release()
  }
}

async function pipeBody (call: IncomingCall, body: Pick<ByteQueue, 'read' | 'takeRest'>): Promise<void> {
  // Most responses are small and arrive whole.
  const whole = body.takeRest()
  if (whole !== undefined) {
    if (whole.length > 0) await call.write(whole)
    return
  }
  for (;;) {
    const chunk = await body.read()
    if (chunk === undefined) return
    const wait = call.write(chunk)
    if (wait !== undefined) await wait
  }
}

/** Holds a small response back until its run is recorded; a larger one is forwarded while it arrives and recorded without its body. */
async function recordResponse ({ call, reply }: ResponseTransfer, guardedRun: GuardedRun): Promise<void> {
  const head: ResponseHead = { status: reply.status, headers: reply.headers }
  const recorder = createResponseRecorder(reply.status, reply.headers)
  const buffered: Uint8Array[] = []
  let bufferedBytes = 0
  let streaming = false
  for (;;) {
    const chunk = await reply.body.read()
    if (chunk === undefined) break
    recorder.add(chunk)
    if (streaming) {
      await call.write(chunk)
      continue
    }
    buffered.push(chunk)
    bufferedBytes += chunk.length
    if (bufferedBytes <= STORED_RESPONSE_BODY_BYTES) continue
    streaming = true
    call.respond(head)
    for (const part of buffered) await call.write(part)
  }
  // Records the run before the response ends, so that a caller that received the complete response gets the same one for a resend.
  // While the key register is unreachable this resolves after 1 s, and the run is recorded in the background.
  await guardedRun.finished(recorder.done())
  if (streaming) return
  call.respond(head)
  for (const part of buffered) await call.write(part)
}
