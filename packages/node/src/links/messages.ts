import type { LoadReport, Refusal, RootContext } from '@orioleslip/core'

/** Facts about one call between two nodes. */
export type CallHead = {
  root: RootContext
  service: string
  method: string
  /** Path and query as the target gets them. */
  path: string
  /** End-to-end headers as flat name and value pairs. */
  headers: string[]
  /** Operation key, or the key of the unlisted operations of the service. */
  opKey: string
  /** Time left until the deadline when the head was sent, in ms. */
  remainingMs: number
  /** Span of the caller; the executor node creates a child span for the target. */
  traceFlags: string
  /** The sender holds the body back until the receiver accepts. */
  deferBody: boolean
  /** Known length of the body; absent for streamed bodies without one. */
  bodyBytes?: number
  /** Set on non-repeatable calls. */
  claim?: { key: string, token: string }
}

/** `unframed` marks an answer without length, whose end is that of the target's connection. */
export type ResponseHead = { status: number, headers: string[], unframed?: boolean }

/** Facts that come back with every result of a call. */
export type CallReport = {
  /** Highest admission level met in the chain below, 0 to 255. */
  pathLevel: number
  /** Inter-region bytes spent on the chain below. */
  regionBytes: number
  /** The target got the call, although it came to nothing. */
  reachedTarget?: boolean
  /** Absent when the answering node has no target. */
  load?: LoadReport
}

/** Messages of one call stream, in both directions. */
export type StreamMessage =
  | { type: 'head', head: CallHead }
  | { type: 'accept' }
  | { type: 'data', chunk: Uint8Array }
  | { type: 'end' }
  | { type: 'credit', bytes: number }
  | { type: 'cancel' }
  | { type: 'responseHead', head: ResponseHead }
  | { type: 'responseData', chunk: Uint8Array }
  | { type: 'responseEnd', report: CallReport }
  | { type: 'refuse', refusal: Refusal, report: CallReport }

/** Bytes that a sender may have in flight on one stream before it needs credit. */
export const STREAM_WINDOW_BYTES = 256 * 1024
/** Credit is returned in steps of at least this size, so that small chunks don't cost a frame each. */
export const CREDIT_STEP_BYTES = 64 * 1024
