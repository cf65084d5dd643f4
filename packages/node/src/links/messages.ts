import type { LoadReport, Refusal, RequestContext } from '@orioleslip/core'

/** Head of a call between two nodes. */
export type CallHead = {
  root: RequestContext
  service: string
  method: string
  /** Path and query as they are sent to the target. */
  path: string
  /** End-to-end headers as flat name and value pairs. */
  headers: string[]
  /** Operation key, or the key of the unlisted operations of the service. */
  opKey: string
  /** Time until the deadline, in ms, when the head was sent. */
  remainingMs: number
  /** Trace flags of the caller's `traceparent`; the executor creates a child span for the target. */
  traceFlags: string
  /** True if the sender withholds the body until the receiver accepts the call (compare `Expect: 100-continue`). */
  deferBody: boolean
  /** Length of the body; absent if it is not known in advance. */
  bodyBytes?: number
  /** Target process at the receiving VM that has said that it leaves, if the sender knows of one. */
  leavingProcess?: number
  /** Identifies the request when it comes again, see `crashes/fingerprint.ts`; absent from nodes of earlier versions. */
  fingerprint?: number
  /** Idempotency key and attempt token that the executor claims in the key register; set on non-repeatable calls. */
  claim?: { key: string, token: string }
}

/** Head of a response. `unframed` marks a response without Content-Length or chunked encoding, which ends with the target's connection. */
export type ResponseHead = { status: number, headers: string[], unframed?: boolean }

/** Report that is returned with every result of a call. */
export type CallReport = {
  /** Highest admission level among the executor and the calls made downstream, 0 to 255. */
  pathLevel: number
  /** Inter-region bytes of the calls made downstream. */
  regionBytes: number
  /** True on the report of a refusal if the target had received the call. */
  reachedTarget?: boolean
  /** Id of the target process if it has said that it leaves. */
  leavingProcess?: number
  /** Absent if the replying node has no target. */
  load?: LoadReport
}

/** Messages of one call stream, in both directions. */
export type StreamMessage =
  /** `sentMs` is the time of the sender's stamp clock, see `link-delay.ts`; absent from nodes of earlier versions. */
  | { type: 'head', head: CallHead, sentMs?: number }
  | { type: 'accept' }
  | { type: 'data', chunk: Uint8Array }
  | { type: 'end' }
  | { type: 'credit', bytes: number }
  | { type: 'cancel' }
  | { type: 'responseHead', head: ResponseHead }
  | { type: 'responseData', chunk: Uint8Array }
  | { type: 'responseEnd', report: CallReport }
  | { type: 'refuse', refusal: Refusal, report: CallReport }

/** Number of bytes that a sender may have in flight on one stream before it needs credit. */
export const STREAM_WINDOW_BYTES = 256 * 1024
/** Credit is returned in steps of at least this many bytes, so that small chunks don't cost a frame each. */
export const CREDIT_STEP_BYTES = 64 * 1024
