import type { OutgoingCall } from '../links/outgoing-call.js'

/** Body of a call that this node forwards. */
export type RequestBody =
  | { kind: 'none' }
  /** Held in memory; can be sent again. */
  | { kind: 'buffered', bytes: Uint8Array }
  /** Passed through once. `lengthBytes` is absent for chunked bodies. */
  | { kind: 'stream', read: () => Promise<Uint8Array | undefined>, lengthBytes?: number }

/** Bodies up to this size are buffered, so that the call can be retried. */
export const BUFFERED_BODY_LIMIT_BYTES = 64 * 1024

/** Sends a body over a call stream; a broken source cancels the call, so that no cut body looks complete. */
export async function sendBody (call: OutgoingCall, body: RequestBody, offer: boolean): Promise<void> {
  if (body.kind === 'none') return
  if (offer) await call.accepted
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

/** Length of a body, when it is known before sending. */
export function bodyBytes (body: RequestBody): number | undefined {
  switch (body.kind) {
    case 'none': return 0
    case 'buffered': return body.bytes.length
    case 'stream': return body.lengthBytes
  }
}
