import type { Importance } from '@orioleslip/core'

/** Services that an answer has to name, outermost first; calls of one service are in the order in which it makes them. */
export type Chain = { service: string, downstream: Chain[] }

/** An operation as the load generator calls it. */
export type LoadOperation = {
  name: string
  service: string
  method: 'GET' | 'POST'
  /** Path within the service, without the last segment, which is the number of the request. */
  path: string
  importance: Importance
  /** False for operations that are sent with an idempotency key. */
  repeatable: boolean
  /** Relative frequency. */
  share: number
  /** Time in which the whole answer has to be back, in ms. */
  deadlineMs: number
  bodyBytes: number
  chain: Chain
}

/** How clients behave when a request fails or is refused; `Retry-After` is ignored. */
export type ClientBehaviour = {
  /** Fixed delay before each resend, in ms; the number of entries is the number of resends. */
  resendDelaysMs: number[]
  /** Time after which a client gives up one try, in ms. */
  attemptTimeoutMs: number
  /** One-way delay between clients and nodes, in ms. */
  delayMs: number
}
