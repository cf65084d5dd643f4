import { Readable } from 'node:stream'
import { endToEndHeaders, headerValue, type PeerAddress } from '@orioleslip/core'
import { buildConnector, Pool, type Dispatcher } from 'undici'
import { createByteQueue, type ByteQueue } from '../links/byte-queue.js'

/** Body of a call to the target. */
export type TargetBody =
  | { kind: 'none' }
  | { kind: 'buffered', bytes: Uint8Array }
  | { kind: 'stream', queue: Pick<ByteQueue, 'read'> }

export type TargetRequest = { method: string, path: string, headers: string[], body: TargetBody, signal: AbortSignal }

/** First result of a call to the target. `sent` is false only when no byte was written to the target. */
export type TargetReply =
  | {
    kind: 'head'
    status: number
    headers: string[]
    /** The answer has no length and ends with its connection, so a target that dies may have cut it. */
    unframed: boolean
    body: Pick<ByteQueue, 'read'>
    /** Drops the answer and its connection. */
    abort: () => void
  }
  | { kind: 'failed', sent: boolean, message: string }

export type TargetClientOptions = {
  /** Takes answers without length, which end with their connection; only a reset then shows that one is incomplete. */
  acceptUnframed?: boolean
}

export type TargetClient = {
  run: (req: TargetRequest) => Promise<TargetReply>
  close: () => Promise<void>
}

/** Answer bytes buffered for a slow reader before the target's socket is paused. */
const ANSWER_BUFFER_BYTES = 256 * 1024
const CONNECT_TIMEOUT_MS = 1000
/** Idle connections close before the usual 5 s of HTTP servers, so that a request does not meet a closing connection. */
const KEEP_ALIVE_MS = 4000

/** Connections to the target beside this node; `maxConnections` bounds the calls that reach it at once. */
export function createTargetClient (address: PeerAddress, maxConnections: number, options: TargetClientOptions = {}): TargetClient {
  const resets = createResetWatch()
  const pool = new Pool(`http://${address.host}:${address.port}`, {
    connections: maxConnections,
    pipelining: 1,
    connect: resets.connect,
    keepAliveTimeout: KEEP_ALIVE_MS,
    // The deadline of the call bounds both; these timers would only duplicate it.
    headersTimeout: 0,
    bodyTimeout: 0
  })
  return {
    run: (req) => new Promise((resolve) => {
      pool.dispatch(dispatchOptions(req), createHandler(req, resolve, { ...options, resetInProgress: resets.inProgress }))
    }),
    close: () => pool.close()
  }
}

function dispatchOptions (req: TargetRequest): Dispatcher.DispatchOptions {
  const method = req.method as Dispatcher.HttpMethod
  return { method, path: req.path, headers: req.headers, body: toUndiciBody(req.body), blocking: false }
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

/**
 * Tells whether a connection is being reset. undici takes a reset for the end of an answer without length; such an answer is incomplete.
 * The flag is set by a listener that runs before undici's own and holds until the event has been handled.
 */
function createResetWatch () {
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
  let inProgress = false
  const onError = () => {
    inProgress = true
    process.nextTick(() => { inProgress = false })
  }
  const connect: buildConnector.connector = (opts, callback) => connector(opts, (...result) => {
    result[1]?.prependListener('error', onError)
    callback(...result)
  })
  return { connect, inProgress: () => inProgress }
}

function createHandler (
  req: TargetRequest, resolve: (reply: TargetReply) => void,
  { acceptUnframed = false, resetInProgress }: TargetClientOptions & { resetInProgress: () => boolean }
): Dispatcher.DispatchHandler {
  let sent = false
  let framed = true
  let controller: Dispatcher.DispatchController | undefined
  let paused = false
  const body = createByteQueue(() => {
    if (!paused || body.size() >= ANSWER_BUFFER_BYTES / 2) return
    paused = false
    controller?.resume()
  })
  const abort = () => controller?.abort(new Error('the call was cancelled'))
  const fail = (message: string) => {
    req.signal.removeEventListener('abort', abort)
    resolve({ kind: 'failed', sent, message })
    body.fail(new Error(message))
  }
  return {
    onRequestStart: (started) => {
      controller = started
      // A request cancelled while it waited for a connection must not be written.
      if (req.signal.aborted) return abort()
      sent = true
      req.signal.addEventListener('abort', abort, { once: true })
    },
    onResponseStart: (_controller, status, _headers) => {
      if (status < 200) return
      const raw = toStrings(_controller.rawHeaders)
      framed = isFramed(req.method, status, raw)
      if (!framed && !acceptUnframed) {
        fail('the answer has neither Content-Length nor chunked encoding, so that its end can\'t be checked')
        return abort()
      }
      resolve({ kind: 'head', status, headers: endToEndHeaders(raw), unframed: !framed, body, abort })
    },
    onResponseData: (_controller, chunk) => {
      body.push(chunk)
      if (body.size() < ANSWER_BUFFER_BYTES) return
      paused = true
      controller?.pause()
    },
    onResponseEnd: () => {
      if (!framed && resetInProgress()) return fail('the connection was reset before the end of an answer without length')
      req.signal.removeEventListener('abort', abort)
      body.end()
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
