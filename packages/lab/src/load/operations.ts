import type { Importance } from '@orioleslip/core'

/** Services that a response has to name, outermost first; downstream calls are in the order in which the service makes them. */
export type Chain = { service: string, downstream: Chain[] }

/** An operation as the load generator calls it. */
export type LoadOperation = {
  name: string
  service: string
  method: 'GET' | 'POST'
  /** Path within the service, without the last segment, which is the id of the request. */
  path: string
  importance: Importance
  /** False for operations that are sent with an idempotency key. */
  repeatable: boolean
  /** Relative frequency. */
  share: number
  /** Time within which the complete response has to arrive, in ms. */
  deadlineMs: number
  bodyBytes: number
  chain: Chain
}

/** Timeouts and resends of clients; `Retry-After` is ignored. */
export type ClientBehaviour = {
  /** Delay before each resend, in ms; the number of entries is the maximum number of resends. */
  resendDelaysMs: number[]
  /** Timeout of one try, in ms. */
  attemptTimeoutMs: number
  /** One-way delay between clients and nodes, in ms. */
  delayMs: number
}
