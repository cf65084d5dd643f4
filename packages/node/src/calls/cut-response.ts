import type { ServerResponse } from 'node:http'

/** Responses that end with their connection, as they have neither a length nor chunks. */
const unframed = new WeakSet<ServerResponse>()

/** Marks a response that ends with its connection. */
export function markUnframed (res: ServerResponse): void {
  unframed.add(res)
}

/**
 * Ends a response that is not whole, and with it the connection. Where the response would end with its connection, only a TCP reset shows
 * the caller that it is incomplete.
 */
export function cutResponse (res: ServerResponse): void {
  if (res.headersSent && unframed.has(res)) res.socket?.resetAndDestroy()
  res.destroy()
}
