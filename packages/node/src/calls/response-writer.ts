import type { IncomingMessage, ServerResponse } from 'node:http'
import { endAfterBody, headerValue, HEADERS, REFUSALS, toProblem, type Refusal } from '@orioleslip/core'
import type { ByteQueue } from '../links/byte-queue.js'
import type { ResponseHead } from '../links/messages.js'
import type { CallFinish } from '../links/outgoing-call.js'
import { cutResponse, markUnframed } from './cut-response.js'
import { createHeldBody } from './held-body.js'
import { BUFFERED_BODY_LIMIT_BYTES } from './request-body.js'

/** Writes a refusal as an `application/problem+json` document; cuts the response if its headers have already been sent. */
export function writeRefusal (req: IncomingMessage, res: ServerResponse, refusal: Refusal, requestId: string): void {
  if (res.destroyed || res.headersSent) {
    cutResponse(res)
    return
  }
  const body = Buffer.from(JSON.stringify(toProblem(refusal, requestId)))
  const headers = [
    'content-type', 'application/problem+json', 'content-length', String(body.length),
    HEADERS.outcome, refusal.outcome, HEADERS.requestId, requestId
  ]
  if (refusal.retryAfterS !== undefined) headers.push(HEADERS.retryAfter, String(Math.max(1, Math.ceil(refusal.retryAfterS))))
  // Reading a large unwanted body to its end would cost more than a new connection.
  const unread = !req.complete && Number(req.headers['content-length'] ?? Infinity) > BUFFERED_BODY_LIMIT_BYTES
  if (unread) headers.push('connection', 'close')
  res.writeHead(REFUSALS[refusal.code].status, headers)
  if (!unread) {
    res.end(body)
    return
  }
  res.write(body)
  endAfterBody(req, res)
}

/**
 * Forwards a target's response to the caller. If it is cut off, the caller's connection is destroyed, so that the part already sent can't
 * pass for a complete response; a response of which nothing has been sent is left to be refused. A response that ends with the caller's
 * connection is held until it is whole: the kernel ends the connections of a process that is killed in order, so that the part already sent
 * would look complete.
 */
export async function writeResponse (
  res: ServerResponse, head: ResponseHead, body: ByteQueue, finish: Promise<CallFinish>, extraHeaders: string[]
): Promise<CallFinish> {
  const headers = extraHeaders.length === 0 ? head.headers : [...head.headers, ...extraHeaders]
  const endsWithConnection = hasNoFraming(res, head)
  const held = endsWithConnection ? createHeldBody() : undefined
  if (endsWithConnection) markUnframed(res)
  try {
    const whole = body.takeRest() ?? (held !== undefined && await held.hold(body) ? held.chunks.takeAll() : undefined)
    if (whole === undefined) {
      // The head waits for the first chunk, so that a response that is cut off before it can be refused.
      const first = held?.chunks.shift() ?? await body.read()
      writeHead(res, head, headers)
      for (let chunk = first; chunk !== undefined; chunk = held?.chunks.shift()) res.write(chunk)
      await pipeBody(res, body)
    }
    const end = await finish
    if (end.kind !== 'complete') {
      abortResponse(res)
    } else if (whole === undefined) {
      res.end()
    } else {
      const hasKnownEnd = endsWithConnection && head.unframed !== true
      writeHead(res, head, hasKnownEnd ? [...headers, 'content-length', String(whole.length)] : headers)
      res.end(whole)
    }
    return end
  } catch {
    abortResponse(res)
    return finish
  } finally {
    held?.release()
  }
}

function writeHead (res: ServerResponse, { status, unframed }: ResponseHead, headers: string[]): void {
  // Framing would mark a response without framing as complete, although a crash of the target may have cut it off.
  if (unframed === true) {
    res.useChunkedEncodingByDefault = false
    res.shouldKeepAlive = false
  }
  res.writeHead(status, headers)
}

async function pipeBody (res: ServerResponse, body: ByteQueue): Promise<void> {
  for (;;) {
    const chunk = await body.read()
    if (chunk === undefined) return
    if (!res.write(chunk)) await waitForDrain(res)
  }
}

/** True if the response has neither a length nor chunks, for example because its caller speaks HTTP/1.0. */
function hasNoFraming (res: ServerResponse, { status, headers, unframed }: ResponseHead): boolean {
  const hasBody = res.req.method !== 'HEAD' && status !== 204 && status !== 304
  return hasBody && (unframed === true || !res.useChunkedEncodingByDefault) && headerValue(headers, 'content-length') === undefined
}

/** Cuts a response that has begun; one of which nothing has been sent can still be refused. */
function abortResponse (res: ServerResponse): void {
  if (res.headersSent) cutResponse(res)
}

/** Resolves when the response accepts more bytes or its connection has closed. */
function waitForDrain (res: ServerResponse): Promise<void> {
  if (res.destroyed) return Promise.resolve()
  return new Promise((resolve) => {
    const done = () => {
      res.removeListener('drain', done)
      res.removeListener('close', done)
      resolve()
    }
    res.on('drain', done)
    res.on('close', done)
  })
}
