import { Readable } from 'node:stream'
import { endToEndHeaders, headerValue, systemClock, type CancelSignal, type PeerAddress } from '@orioleslip/core'
import { Pool, type Dispatcher } from 'undici'
import { createByteQueue, type ByteQueue } from '../links/byte-queue.js'
import { createCopyDetection, type CopyDetection } from './copy-detection.js'
import type { CopyScanner, ScanResult } from './copy-scanner.js'
import { createConnectionFactory, type ConnectedDispatchOptions, type TargetConnection } from './target-connections.js'

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
  /** True if a response with these headers belongs to another request; its connection is closed at once, before it can be used again. */
  isForeign?: (headers: readonly string[]) => boolean
}

/** State of the transfer of a response: body bytes received, calls sent on its connection, and how that has ended. */
export type ResponseTransferState = { bodyBytes: number, connectionCalls: number, connectionEnd: TargetConnection['end'] }

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
  /** Accepts responses without framing, which end with their connection; only a reset then shows that one is incomplete. */
  acceptUnframed?: boolean
  /** Name, in lower case, of the header that targets copy from a call into its response; copies of responses are recognised by it. */
  idHeader?: string
}

export type TargetClient = {
  run: (req: TargetRequest) => Promise<TargetReply>
  close: () => Promise<void>
}

/** Number of response bytes buffered for a slow reader before the target's socket is paused. */
const RESPONSE_BUFFER_BYTES = 256 * 1024
/** Idle connections are closed before HTTP servers close them, usually after 5 s, so that no request is sent on a closing connection. */
const KEEP_ALIVE_MS = 4000
/** Time in which the rest of a copied response arrives whose start has filled the end of a body, in ms. */
const COPY_REST_MS = 20
const COPY_MESSAGE = 'the body contains the start of another response on its connection'

/** Creates the HTTP client of the local target; `maxConnections` limits its concurrent calls. */
export function createTargetClient (address: PeerAddress, maxConnections: number, options: TargetClientOptions = {}): TargetClient {
  const { acceptUnframed = false, idHeader } = options
  const copies = idHeader === undefined ? undefined : createCopyDetection(idHeader)
  const pool = new Pool(`http://${address.host}:${address.port}`, {
    connections: maxConnections,
    pipelining: 1,
    factory: createConnectionFactory(),
    keepAliveTimeout: KEEP_ALIVE_MS,
    // The deadline of the call limits both.
    headersTimeout: 0,
    bodyTimeout: 0
  })
  return {
    run: (req) => new Promise((resolve) => {
      const handler = createHandler(req, resolve, acceptUnframed, copies)
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

type OnDispatch = ConnectedDispatchOptions['onDispatch']

function createHandler (
  req: TargetRequest, resolve: (reply: TargetReply) => void, acceptUnframed: boolean, copies: CopyDetection | undefined
): Dispatcher.DispatchHandler & { onDispatch: OnDispatch } {
  let connectionOf: (() => TargetConnection) | undefined
  let connection: TargetConnection | undefined
  let sent = false
  let framed = true
  let closes = false
  let bodyBytes = 0
  let scan: CopyScanner | undefined
  let scanned: ScanResult = 'clean'
  let controller: Dispatcher.DispatchController | undefined
  let paused = false
  const body = createByteQueue(() => {
    if (!paused || body.size() >= RESPONSE_BUFFER_BYTES / 2) return
    paused = false
    controller?.resume()
  })
  const abort = () => controller?.abort(new Error('the call was cancelled'))
  const fail = (message: string) => {
    req.signal.removeEventListener('abort', abort)
    resolve({ kind: 'failed', sent, message })
    body.fail(new Error(message))
  }
  const complete = () => {
    req.signal.removeEventListener('abort', abort)
    body.end()
  }
  /** The rest of a copy that has filled the end of the body follows at once, and undici closes the connection then. */
  const confirmEnd = async () => {
    await systemClock.sleep(COPY_REST_MS)
    if (connection?.end === 'reset') fail(COPY_MESSAGE)
    else complete()
  }
  const transfer = (): ResponseTransferState => ({
    bodyBytes, connectionCalls: connection?.calls ?? 0, connectionEnd: connection?.end ?? 'open'
  })
  return {
    onDispatch: (getConnection) => { connectionOf = getConnection },
    onRequestStart: (requestController) => {
      controller = requestController
      connection = connectionOf?.()
      if (connection !== undefined) connection.calls++
      copies?.callSent(req.headers)
      // A request that was cancelled while it waited for a connection must not be sent.
      if (req.signal.aborted) return abort()
      sent = true
      req.signal.addEventListener('abort', abort, { once: true })
    },
    onResponseStart: (_controller, status, _headers) => {
      if (status < 200) return
      const raw = toStrings(_controller.rawHeaders)
      if (req.isForeign?.(raw) === true) {
        resolve({ kind: 'foreign' })
        return abort()
      }
      framed = isFramed(req.method, status, raw)
      closes = !framed || headerValue(raw, 'connection')?.toLowerCase() === 'close'
      scan = copies?.createScanner()
      if (!framed && !acceptUnframed) {
        fail('the response has neither Content-Length nor chunked encoding, so that its end can\'t be checked')
        return abort()
      }
      resolve({ kind: 'head', status, headers: endToEndHeaders(raw), unframed: !framed, body, abort, transfer })
    },
    onResponseData: (_controller, chunk) => {
      bodyBytes += chunk.length
      scanned = scan?.(chunk) ?? 'clean'
      if (scanned === 'copy') {
        fail(COPY_MESSAGE)
        return abort()
      }
      body.push(chunk)
      if (body.size() < RESPONSE_BUFFER_BYTES) return
      paused = true
      controller?.pause()
    },
    onResponseEnd: () => {
      if (!framed && connection?.end === 'reset') return fail('the connection was reset before the end of a response without Content-Length or chunked encoding')
      if (closes && scanned === 'head') return fail(COPY_MESSAGE)
      if (!closes && scanned !== 'clean') {
        confirmEnd().catch(() => {})
        return
      }
      complete()
    },
    onResponseError: (_controller, err) => fail(err.message)
  }
}

function toStrings (raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return []
  return raw.map((item) => typeof item === 'string' ? item : item.toString('latin1'))
}

function isFramed (method: string, status: number, raw: string[]): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return true
  return headerValue(raw, 'content-length') !== undefined || headerValue(raw, 'transfer-encoding') !== undefined
}
