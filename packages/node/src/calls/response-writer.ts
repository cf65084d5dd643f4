import type { IncomingMessage, ServerResponse } from 'node:http'
import { HEADERS, REFUSALS, toProblem, type Refusal } from '@orioleslip/core'
import type { ByteQueue } from '../links/byte-queue.js'
import type { ResponseHead } from '../links/messages.js'
import type { CallFinish } from '../links/outgoing-call.js'
import { BUFFERED_BODY_LIMIT_BYTES } from './request-body.js'

/** Longest time for which the rest of a refused request's body is read and discarded, in ms. */
const LINGER_MS = 1000

/** Writes a refusal as an `application/problem+json` document; destroys the response if its headers have already been sent. */
export function writeRefusal (req: IncomingMessage, res: ServerResponse, refusal: Refusal, requestId: string): void {
  if (res.destroyed || res.headersSent) {
    res.destroy()
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
  // Closing the socket while body bytes still arrive resets the connection, and the client may lose a refusal that it has not read yet.
  res.write(body)
  const end = () => {
    clearTimeout(timer)
    res.end()
  }
  const timer = setTimeout(end, LINGER_MS)
  req.once('close', end)
  req.resume()
}

/**
 * Forwards a target's response to the caller. If the response is cut off, the caller's connection is destroyed, so that the part already
 * sent can't pass for a complete response. A response without framing is forwarded without framing, since a terminating chunk would mark
 * it as complete.
 */
export async function writeResponse (
  res: ServerResponse, head: ResponseHead, body: ByteQueue, finish: Promise<CallFinish>, extraHeaders: string[]
): Promise<CallFinish> {
  if (head.unframed === true) {
    res.useChunkedEncodingByDefault = false
    res.shouldKeepAlive = false
  }
  res.writeHead(head.status, extraHeaders.length === 0 ? head.headers : [...head.headers, ...extraHeaders])
  const whole = body.takeRest()
  if (whole !== undefined) {
    const end = await finish
    if (end.kind === 'complete') res.end(whole)
    else abortResponse(res, head)
    return end
  }
  try {
    for (;;) {
      const chunk = await body.read()
      if (chunk === undefined) break
      if (!res.write(chunk)) await waitForDrain(res)
    }
  } catch {
    abortResponse(res, head)
    return finish
  }
  const end = await finish
  if (end.kind === 'complete') res.end()
  else abortResponse(res, head)
  return end
}

/** Aborts a response. An unframed response ends with its connection, so only a TCP reset shows the caller that it is incomplete. */
function abortResponse (res: ServerResponse, head: ResponseHead): void {
  if (head.unframed === true) res.socket?.resetAndDestroy()
  res.destroy()
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
