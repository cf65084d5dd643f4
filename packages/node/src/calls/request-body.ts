import type { OutgoingCall } from '../links/outgoing-call.js'

/** Body of a call that this node forwards. */
export type RequestBody =
  | { kind: 'none' }
  /** Held in memory, so that the call can be retried. */
  | { kind: 'buffered', bytes: Uint8Array }
  /** Can be read only once. `lengthBytes` is absent for chunked bodies. */
  | { kind: 'stream', read: () => Promise<Uint8Array | undefined>, lengthBytes?: number }

/** Bodies up to this size are buffered, so that the call can be retried. */
export const BUFFERED_BODY_LIMIT_BYTES = 64 * 1024

/**
 * Sends a body over a call stream, after the receiver has accepted the call if `deferred`. A failed source cancels the call, so that a
 * partial body can't pass for complete.
 */
export async function sendBody (call: OutgoingCall, body: RequestBody, deferred: boolean): Promise<void> {
  if (body.kind === 'none') return
  if (deferred) await call.accepted
  if (body.kind === 'buffered') {
    await call.write(body.bytes)
    return call.end()
  }
  try {
    for (;;) {
      const chunk = await body.read()
      if (chunk === undefined) return call.end()
      const wait = call.write(chunk)
      if (wait !== undefined) await wait
    }
  } catch {
    call.cancel()
  }
}

/** Returns the length of a body, or undefined if it is not known in advance. */
export function bodyBytes (body: RequestBody): number | undefined {
  switch (body.kind) {
    case 'none': return 0
    case 'buffered': return body.bytes.length
    case 'stream': return body.lengthBytes
  }
}
