import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { closeConnectionsInOrder, systemClock, WELL_KNOWN_PREFIX, type Clock, type PeerAddress } from '@orioleslip/core'
import { cutResponse } from '../calls/cut-response.js'
import { listen } from '../net/listen.js'
import { processReads, type SocketReads } from '../net/socket-reads.js'
import { createCallerConnections, type UnansweredEnd } from './caller-connections.js'

/** Handles a request that has waited for `waitedMs` at least, behind earlier ones of its connection or in its socket. */
export type RequestListener = (req: IncomingMessage, res: ServerResponse, waitedMs: number) => Promise<void>

export type CallerServer = {
  port: number
  /** Lets the responses that have not begun close their connections. */
  closeAfterResponses: () => void
  /** Stops accepting connections; resolves when the open requests have ended. */
  drain: () => Promise<void>
  /** Closes all connections immediately, so that no response that has begun looks whole. */
  abort: () => void
}

/** Limits on caller connections, read for each request. */
export type CallerLimits = { idleTimeoutMs: number }

export type CallerServerOptions = {
  /** While it returns true every response closes its connection, refusals included; false by default. */
  stopping?: () => boolean
  limits?: () => CallerLimits
  /** Called for each connection that ends before each of its requests got a whole response. */
  onUnanswered?: (end: UnansweredEnd) => void
  reads?: SocketReads
  clock?: Clock
}

/** Longer than most clients keep idle connections, so that the client closes first. */
const KEEP_ALIVE_MS = 65_000
const HEADERS_TIMEOUT_MS = 10_000
const MAX_HEADER_BYTES = 64 * 1024

/**
 * Serves callers and the local target; rejects if the port can't be opened. A client that keeps its connection to a stopping node until the
 * process exits loses the request that it sends at that moment, so that each response of a stopping node closes its connection.
 */
export async function startCallerServer (
  address: PeerAddress, onCall: RequestListener, onWellKnown: RequestListener, options: CallerServerOptions = {}
): Promise<CallerServer> {
  const { stopping = () => false, limits = () => ({ idleTimeoutMs: KEEP_ALIVE_MS }) } = options
  const { onUnanswered = () => {}, reads = processReads, clock = systemClock } = options
  const connections = createCallerConnections(clock, onUnanswered)
  const responses = new Set<ServerResponse>()
  const listener = (req: IncomingMessage, res: ServerResponse) => {
    reads.noteRead()
    const readWaitMs = reads.waitedMs()
    connections.handle(req, res, (waitedMs) => {
      responses.add(res)
      res.once('close', () => responses.delete(res))
      if (stopping()) res.shouldKeepAlive = false
      server.keepAliveTimeout = limits().idleTimeoutMs
      const handle = req.url?.startsWith(WELL_KNOWN_PREFIX) === true ? onWellKnown : onCall
      // What came behind another request may have arrived while this turn was reading.
      handle(req, res, waitedMs === 0 ? readWaitMs : waitedMs).catch(() => res.destroy())
    })
  }
  const server = createServer({
    keepAliveTimeout: limits().idleTimeoutMs,
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    // Uploads may take longer than the default limit; the deadline of the call limits them.
    requestTimeout: 0,
    noDelay: true
  }, listener)
  closeConnectionsInOrder(server, connections.isIdle)
  server.on('connection', reads.noteAccepted)
  server.on('clientError', (err, socket) => connections.refuseMalformed(err, socket as Socket))
  const port = await listen(server, address)
  return {
    port,
    drain: () => new Promise((resolve) => { server.close(() => resolve()) }),
    closeAfterResponses: () => { for (const res of responses) if (!res.headersSent) res.shouldKeepAlive = false },
    abort: () => {
      for (const res of responses) if (res.headersSent && !res.writableFinished) cutResponse(res)
      server.closeAllConnections()
    }
  }
}
