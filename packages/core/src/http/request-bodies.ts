import type { IncomingMessage, ServerResponse } from 'node:http'

/** Longest time for which the rest of an unwanted body is read and discarded, in ms. */
const LINGER_MS = 1000

/** Length of the body of a request, in bytes; undefined for a chunked one. */
export function bodyLength (req: IncomingMessage): number | undefined {
  if (req.headers['transfer-encoding'] !== undefined) return undefined
  return Number(req.headers['content-length'] ?? 0)
}

/** Discards the rest of a request's body while it arrives. */
export function discardRequestBody (req: IncomingMessage): void {
  req.removeAllListeners('data')
  req.resume()
}

/**
 * Ends a response, all of which has been written, when the rest of the request's body has been discarded. Closing the socket while body
 * bytes still arrive resets the connection, and the client may lose a response that it has not read yet.
 */
export function endAfterBody (req: IncomingMessage, res: ServerResponse): void {
  const end = () => {
    clearTimeout(timer)
    res.end()
  }
  const timer = setTimeout(end, LINGER_MS)
  req.once('close', end)
  discardRequestBody(req)
}
