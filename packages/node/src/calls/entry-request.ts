import type { IncomingMessage } from 'node:http'
import {
  bodyLength, createChunkList, endToEndHeaders, headerValue, HEADERS, newTraceId, notRun, parseTraceParent,
  type CancelSignal, type Refusal, type TraceParent
} from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { parseIdempotencyKey } from '../idempotency/idempotency-key.js'
import { BUFFERED_BODY_LIMIT_BYTES, type RequestBody } from './request-body.js'
import { createRequestReader } from './request-reader.js'
import { untilAborted } from './until-aborted.js'

/** Fields of an HTTP request from a caller or from the local target. */
export type ParsedRequest = {
  service: string
  method: string
  /** Path and query within the service. */
  path: string
  /** Path without the query, used to look up the operation. */
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
// A dot segment, plain or percent-encoded, would let a path resolve to another operation than the one it is checked against.
const DOT_SEGMENT = /(^|\/)(\.|%2e){1,2}(\/|$)/i
const MAX_TIMEOUT_MS = 3_600_000

const badRequest = (detail: string) => err(notRun('bad-request', detail))

/** Parses and validates the parts of a request that orioleslip reads. */
export function parseRequest (req: IncomingMessage): Result<ParsedRequest, Refusal> {
  const method = req.method ?? ''
  if (!METHODS.has(method)) return badRequest(`method "${method}" is not supported`)
  const url = req.url ?? ''
  const slash = url.indexOf('/', 1)
  const service = url.slice(1, slash === -1 ? url.length : slash).split('?')[0] ?? ''
  if (!url.startsWith('/') || !SERVICE.test(service)) return badRequest('the first path segment must name a service')
  const path = slash === -1 ? `/${url.slice(1 + service.length)}` : url.slice(slash)
  const pathname = path.split('?')[0] ?? ''
  if (DOT_SEGMENT.test(pathname)) return badRequest('the path must not have "." or ".." segments')

  const raw = req.rawHeaders
  const timeoutText = headerValue(raw, HEADERS.timeoutMs)
  const timeoutMs = timeoutText === undefined ? undefined : Number(timeoutText)
  if (timeoutMs !== undefined && !(Number.isInteger(timeoutMs) && timeoutMs >= 1 && timeoutMs <= MAX_TIMEOUT_MS)) {
    return badRequest(`${HEADERS.timeoutMs} must be a whole number from 1 to ${MAX_TIMEOUT_MS}`)
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

/** Generates a trace context for a request without a `traceparent` header. */
export function newTrace (): TraceParent {
  return { traceId: newTraceId(), spanId: '0000000000000001', flags: '00' }
}

/**
 * Receives the body of a request: bodies of known length up to `bufferLimitBytes` in memory, others as a stream with backpressure. Rejects
 * if the caller disconnects in the middle of a buffered body, and resolves with undefined if `signal` aborts first.
 */
export async function receiveBody (
  req: IncomingMessage, lengthBytes: number | undefined, signal: CancelSignal, bufferLimitBytes = BUFFERED_BODY_LIMIT_BYTES
): Promise<RequestBody | undefined> {
  if (lengthBytes === 0) return { kind: 'none' }
  if (lengthBytes === undefined || lengthBytes > bufferLimitBytes) {
    return { kind: 'stream', read: createRequestReader(req), ...(lengthBytes === undefined ? {} : { lengthBytes }) }
  }
  return await bufferBody(req, lengthBytes, signal, bufferLimitBytes)
}

/**
 * Reads a body into memory, so that the call can be retried; a body over `limitBytes` is returned as a stream instead. Resolves with
 * undefined if `signal` aborts first.
 */
export async function bufferBody (
  req: IncomingMessage, lengthBytes: number | undefined, signal: CancelSignal, limitBytes: number
): Promise<RequestBody | undefined> {
  if (lengthBytes === 0) return { kind: 'none' }
  return await untilAborted(readBody(req, lengthBytes, limitBytes), signal)
}

/** Refusal of a request whose body had not arrived when its deadline passed or its caller left. */
export function bodyMissing (): Refusal {
  return notRun('deadline-exceeded', 'the deadline passed, or the caller left, before the body of the request had arrived')
}

/** Refusal of a request whose deadline had passed when it could be handled, for example behind others of its connection. */
export function deadlinePassed (): Refusal {
  return notRun('deadline-exceeded', 'the deadline passed before the request could be handled')
}

/** Refusal of a request that nobody waits for any more when it could be sent to a target. */
export function tooLate (): Refusal {
  return notRun('deadline-exceeded', 'the deadline passed, or the caller left, before the request was sent to a target')
}

async function readBody (req: IncomingMessage, lengthBytes: number | undefined, limitBytes: number): Promise<RequestBody> {
  const read = createRequestReader(req)
  const chunks = createChunkList()
  while (chunks.size() <= limitBytes) {
    const chunk = await read()
    if (chunk === undefined) return { kind: 'buffered', bytes: chunks.takeAll() }
    chunks.push(chunk)
  }
  const readRest = async () => chunks.shift() ?? await read()
  return { kind: 'stream', read: readRest, ...(lengthBytes === undefined ? {} : { lengthBytes }) }
}
