import { notRun, type Refusal } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { readAll } from '../links/byte-queue.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { TargetBody } from '../target/target-client.js'
import { BUFFERED_BODY_LIMIT_BYTES } from './request-body.js'

/**
 * Receives the body of a call for the local target: a small body of known length is buffered, any other is streamed. `bytes` is the body of
 * a non-repeatable call, which has been read already. Returns a refusal if the body ended early or differs from its declared length.
 */
export async function receiveTargetBody (call: IncomingCall, bytes: Uint8Array | undefined): Promise<Result<TargetBody, Refusal>> {
  if (bytes !== undefined) return ok(bytes.length === 0 ? { kind: 'none' } : { kind: 'buffered', bytes })
  const { bodyBytes } = call.head
  if (bodyBytes === 0) return ok({ kind: 'none' })
  call.accept()
  if (bodyBytes === undefined || bodyBytes > BUFFERED_BODY_LIMIT_BYTES) return ok({ kind: 'stream', queue: call.body })
  const received = await readDeclared(call, bodyBytes)
  if (received === 'cut') return err(notRun('deadline-exceeded', 'the call was cancelled while its body was being received'))
  if (received?.length === bodyBytes) return ok({ kind: 'buffered', bytes: received })
  const length = received === undefined ? `more than ${bodyBytes}` : String(received.length)
  return err(notRun('bad-request', `the body has ${length} bytes instead of the declared ${bodyBytes}`))
}

async function readDeclared (call: IncomingCall, bodyBytes: number): Promise<Uint8Array | undefined | 'cut'> {
  try {
    return await readAll(call.body, bodyBytes)
  } catch {
    return 'cut'
  }
}
