import { Readable } from 'node:stream'
import { systemClock, type CancelSignal, type Clock, type PeerAddress } from '@orioleslip/core'
import { Pool, type Dispatcher } from 'undici'
import type { ByteQueue } from '../links/byte-queue.js'
import { createCopyDetection } from './copy-detection.js'
import { createResponseEndCheck } from './response-end.js'
import { createResponseHandler, type OnDispatch } from './response-handler.js'
import { createTargetConnections, type ConnectedDispatchOptions, type TargetConnection } from './target-connections.js'
import { createTargetLiveness } from './target-liveness.js'

/** Body of a call to the target. */
export type TargetBody =
  | { kind: 'none' }
  | { kind: 'buffered', bytes: Uint8Array }
  | { kind: 'stream', queue: Pick<ByteQueue, 'read'> }

export type TargetRequest = {
  method: string
  path: string
  headers: string[]
  body: TargetBody
  signal: CancelSignal
  /** Time until the deadline of the call, in ms; a request that has waited for a connection until there is none left is not sent. */
  remainingMs?: () => number
  /** True if a response with these headers belongs to another request; its connection is closed at once, before it can be used again. */
  isForeign?: (headers: readonly string[]) => boolean
}

/** State of the transfer of a response. */
export type ResponseTransferState = {
  /** Number of body bytes received. */
  bodyBytes: number
  /** Number of calls that were sent on its connection. */
  connectionCalls: number
  connectionEnd: TargetConnection['end']
  /** Longest time in which this node did not read the response, in ms. */
  unreadMs: number
}

/** First result of a call to the target. `sent` is false only if no byte was written to the target. */
export type TargetReply =
  | {
    kind: 'head'
    status: number
    headers: string[]
    /** True if the response has no framing and ends with its connection, so that a crash of the target may have cut it off. */
    unframed: boolean
    body: Pick<ByteQueue, 'read' | 'takeRest'>
    /** Discards the response and closes its connection. */
    abort: () => void
    /** What has arrived so far, and on which connection. */
    transfer: () => ResponseTransferState
  }
  | { kind: 'failed', sent: boolean, message: string }
  | { kind: 'foreign' }

export type TargetClientOptions = {
  /** Accepts responses without framing, which end with their connection; see `createResponseEndCheck`. */
  acceptUnframed?: boolean
  /** Name, in lower case, of the header that targets copy from a call into its response; copies of responses are recognised by it. */
  idHeader?: string
  clock?: Clock
  /** Longest time in which this process did not run, among those that ended after `sinceMs` of the clock, in ms; 0 by default. */
  longestGapMs?: (sinceMs: number) => number
}

export type TargetClient = {
  run: (req: TargetRequest) => Promise<TargetReply>
  close: () => Promise<void>
}

/** Idle connections are closed before HTTP servers close them, usually after 5 s, so that no request is sent on a closing connection. */
const KEEP_ALIVE_MS = 4000

/** Creates the HTTP client of the local target; `maxConnections` limits its concurrent calls. */
export function createTargetClient (address: PeerAddress, maxConnections: number, options: TargetClientOptions = {}): TargetClient {
  const { acceptUnframed = false, idHeader, clock = systemClock, longestGapMs = () => 0 } = options
  const copies = idHeader === undefined ? undefined : createCopyDetection(idHeader)
  const connections = createTargetConnections()
  const checkEnd = createResponseEndCheck({
    clock,
    isTargetRunning: createTargetLiveness({ connections, address, clock })
  })
  const pool = new Pool(`http://${address.host}:${address.port}`, {
    connections: maxConnections,
    pipelining: 1,
    factory: connections.factory,
    keepAliveTimeout: KEEP_ALIVE_MS,
    // The deadline of the call limits both.
    headersTimeout: 0,
    bodyTimeout: 0
  })
  return {
    run: (req) => new Promise((resolve) => {
      const handler = createResponseHandler(req, resolve, { acceptUnframed, copies, checkEnd, clock, longestGapMs })
      pool.dispatch(dispatchOptions(req, handler.onDispatch), handler)
    }),
    close: () => pool.close()
  }
}

function dispatchOptions (req: TargetRequest, onDispatch: OnDispatch): ConnectedDispatchOptions {
  const method = req.method as Dispatcher.HttpMethod
  return { method, path: req.path, headers: req.headers, body: toUndiciBody(req.body), blocking: false, onDispatch }
}

function toUndiciBody (body: TargetBody): Buffer | Readable | null {
  switch (body.kind) {
    case 'none': return null
    case 'buffered': return Buffer.from(body.bytes.buffer, body.bytes.byteOffset, body.bytes.byteLength)
    case 'stream': return Readable.from(chunksOf(body.queue), { objectMode: false })
  }
}

async function * chunksOf (queue: Pick<ByteQueue, 'read'>): AsyncGenerator<Uint8Array> {
  for (;;) {
    const chunk = await queue.read()
    if (chunk === undefined) return
    yield chunk
  }
}
