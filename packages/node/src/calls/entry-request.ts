import type { IncomingMessage } from 'node:http'
import {
  endToEndHeaders, headerValue, HEADERS, newTraceId, notRun, parseTraceParent, type Refusal, type TraceParent
} from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { parseIdempotencyKey } from '../idempotency/idempotency-key.js'
import { BUFFERED_BODY_LIMIT_BYTES, type RequestBody } from './request-body.js'

/** Fields of an HTTP request from a caller or from the target beside this node. */
export type ParsedRequest = {
  service: string
  method: string
  /** Path and query within the service. */
  path: string
  /** Path without the query, for the lookup of the operation. */
  pathname: string
  headers: string[]
  customer: string | undefined
  trace: TraceParent | undefined
  timeoutMs: number | undefined
  idempotencyKey: string | undefined
  bodyBytes: number | undefined
}

const METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE'])
const SERVICE = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/
// A dot segment, plain or percent-encoded, would let a path reach another operation than the one it is checked against.
const DOT_SEGMENT = /(^|\/)(\.|%2e){1,2}(\/|$)/i
const MAX_TIMEOUT_MS = 3_600_000

const bad = (detail: string) => err(notRun('bad-request', detail))

/** Checks the parts of a request that orioleslip reads. */
export function parseRequest (req: IncomingMessage): Result<ParsedRequest, Refusal> {
  const method = req.method ?? ''
  if (!METHODS.has(method)) return bad(`method "${method}" is not supported`)
  const url = req.url ?? ''
  const slash = url.indexOf('/', 1)
  const service = url.slice(1, slash === -1 ? url.length : slash).split('?')[0] ?? ''
  if (!url.startsWith('/') || !SERVICE.test(service)) return bad('the first path segment must name a service')
  const path = slash === -1 ? `/${url.slice(1 + service.length)}` : url.slice(slash)
  const pathname = path.split('?')[0] ?? ''
  if (DOT_SEGMENT.test(pathname)) return bad('the path must not have "." or ".." segments')

  const raw = req.rawHeaders
  const timeoutText = headerValue(raw, HEADERS.timeoutMs)
  const timeoutMs = timeoutText === undefined ? undefined : Number(timeoutText)
  if (timeoutMs !== undefined && !(Number.isInteger(timeoutMs) && timeoutMs >= 1 && timeoutMs <= MAX_TIMEOUT_MS)) {
    return bad(`${HEADERS.timeoutMs} must be a whole number from 1 to ${MAX_TIMEOUT_MS}`)
  }
  const keyHeader = headerValue(raw, HEADERS.idempotencyKey)
  const key = keyHeader === undefined ? ok(undefined) : parseIdempotencyKey(keyHeader)
  if (key.isErr()) return err(key.error)
  return ok({
    service,
    method,
    path,
    pathname,
    headers: endToEndHeaders(raw),
    customer: headerValue(raw, HEADERS.customer),
    trace: parseTraceParent(headerValue(raw, HEADERS.traceparent)),
    timeoutMs,
    idempotencyKey: key.value,
    bodyBytes: bodyLength(req)
  })
}

/** Length of the body in bytes; undefined for a chunked one. */
export function bodyLength (req: IncomingMessage): number | undefined {
  if (req.headers['transfer-encoding'] !== undefined) return undefined
  return Number(req.headers['content-length'] ?? 0)
}

/** A new trace for a request that came without one. */
export function newTrace (): TraceParent {
  return { traceId: newTraceId(), spanId: '0000000000000001', flags: '00' }
}

/** Takes the body of a request: small ones into memory, larger ones as a stream with backpressure. Rejects when the caller cuts it. */
export async function takeBody (
  req: IncomingMessage, lengthBytes: number | undefined, bufferLimitBytes = BUFFERED_BODY_LIMIT_BYTES
): Promise<RequestBody> {
  if (lengthBytes === 0) return { kind: 'none' }
  if (lengthBytes === undefined || lengthBytes > bufferLimitBytes) {
    return { kind: 'stream', read: createReader(req), ...(lengthBytes === undefined ? {} : { lengthBytes }) }
  }
  return await takeWholeBody(req, lengthBytes, bufferLimitBytes)
}

/** Reads a body into memory, so that the call can be sent again; what exceeds the limit is passed on as a stream. */
export async function takeWholeBody (req: IncomingMessage, lengthBytes: number | undefined, limitBytes: number): Promise<RequestBody> {
  if (lengthBytes === 0) return { kind: 'none' }
  const read = createReader(req)
  const chunks: Uint8Array[] = []
  let bytes = 0
  while (bytes <= limitBytes) {
    const chunk = await read()
    if (chunk === undefined) return { kind: 'buffered', bytes: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) }
    chunks.push(chunk)
    bytes += chunk.length
  }
  const readRest = async () => chunks.shift() ?? await read()
  return { kind: 'stream', read: readRest, ...(lengthBytes === undefined ? {} : { lengthBytes }) }
}

/** Reads the body of a request chunk by chunk; rejects when the caller cuts it. */
function createReader (req: IncomingMessage): () => Promise<Uint8Array | undefined> {
  const iterator = req[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>
  return async () => {
    const next = await iterator.next()
    if (next.done === true) {
      if (!req.complete) throw new Error('the caller closed the connection in the middle of the body')
      return undefined
    }
    return next.value
  }
}
