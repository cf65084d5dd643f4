import { notRun, type CancelSignal, type Refusal } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { readAll } from '../links/byte-queue.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { TargetBody } from '../target/target-client.js'
import { BUFFERED_BODY_LIMIT_BYTES } from './request-body.js'
import { untilAborted } from './until-aborted.js'

/**
 * Receives the body of a call for the local target: a small body of known length is buffered, any other is streamed. `bytes` is the body of
 * a non-repeatable call, which has been read already. Returns a refusal if `signal` aborts first, or if the body ended early or differs
 * from its declared length.
 */
export async function receiveTargetBody (
  call: IncomingCall, bytes: Uint8Array | undefined, signal: CancelSignal
): Promise<Result<TargetBody, Refusal>> {
  if (bytes !== undefined) return ok(bytes.length === 0 ? { kind: 'none' } : { kind: 'buffered', bytes })
  const { bodyBytes } = call.head
  if (bodyBytes === 0) return ok({ kind: 'none' })
  call.accept()
  if (bodyBytes === undefined || bodyBytes > BUFFERED_BODY_LIMIT_BYTES) return ok({ kind: 'stream', queue: call.body })
  const received = await readUntilAborted(call, bodyBytes, signal)
  if (received === 'cut') return err(bodyCut())
  if (received?.length === bodyBytes) return ok({ kind: 'buffered', bytes: received })
  const length = received === undefined ? `more than ${bodyBytes}` : String(received.length)
  return err(notRun('bad-request', `the body has ${length} bytes instead of the declared ${bodyBytes}`))
}

/** Reads the body of a call; `cut` if `signal` aborts first or the call ends, undefined if the body exceeds `maxBytes`. */
export async function readUntilAborted (call: IncomingCall, maxBytes: number, signal: CancelSignal): Promise<Uint8Array | undefined | 'cut'> {
  try {
    const received = await untilAborted(readAll(call.body, maxBytes).then((bytes) => ({ bytes })), signal)
    return received === undefined ? 'cut' : received.bytes
  } catch {
    return 'cut'
  }
}

/** Refusal of a call whose body had not arrived when the call was cancelled or recalled, or when its deadline passed. */
export function bodyCut (): Refusal {
  return notRun('deadline-exceeded', 'the call was cancelled while its body was being received')
}
