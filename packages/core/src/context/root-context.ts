/** Address of a node's peer listener. */
export type PeerAddress = { host: string, port: number }

/** Facts about a member request that are fixed at its entry and carried unchanged along the whole chain. */
export type RootContext = {
  requestId: string
  traceId: string
  customer: string
  /** Operation by which the request entered, as `METHOD service path`. */
  entryOpKey: string
  /** 0 to 255, see `priorityOf`. */
  priority: number
  /** Node that entered the request and holds its retry ledger. */
  ledger: PeerAddress
  /** Region in which the request entered. */
  region: string
}
