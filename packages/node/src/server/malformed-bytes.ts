import { STATUS_CODES, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { closeInOrder } from '@orioleslip/core'

/** Status for an error of the HTTP parser. */
function statusOf ({ code }: NodeJS.ErrnoException): number {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW': return 431
    case 'HPE_CHUNK_EXTENSIONS_OVERFLOW': return 413
    case 'ERR_HTTP_REQUEST_TIMEOUT': return 408
    default: return 400
  }
}

/**
 * Refuses bytes that are no request and closes their connection. `res` is the response to the last request; once its head has been sent,
 * the connection is only closed.
 */
export function closeWithRefusal (socket: Socket, err: NodeJS.ErrnoException, res: ServerResponse | undefined): void {
  const isBehind = res === undefined || res.writableFinished
  if (!socket.writable || !(isBehind || !res.headersSent)) {
    socket.destroy()
    return
  }
  const status = statusOf(err)
  closeInOrder(socket, { lastBytes: `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n` })
}
