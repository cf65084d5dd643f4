/** Address of a node's peer listener. */
export type PeerAddress = { host: string, port: number }

/** Context of a root request: set at the entry node and passed unchanged to each call in its chain. */
export type RequestContext = {
  requestId: string
  traceId: string
  customer: string
  /** Operation of the root request, as `METHOD service path`. */
  entryOpKey: string
  /** 0 to 255, see `priorityOf`. */
  priority: number
  /** Peer address of the entry node, which holds the retry ledger of the request. */
  ledger: PeerAddress
  /** Region in which the request entered. */
  region: string
}
