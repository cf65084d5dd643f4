import type { IncomingMessage, ServerResponse } from 'node:http'
import { discardRequestBody } from '@orioleslip/core'
import type { CallDeadline } from './call-deadline.js'

/** Cancels the work for a request when its caller leaves. The end of the connection is read some turns before the response closes. */
export function cancelWhenCallerLeaves (req: IncomingMessage, res: ServerResponse, deadline: CallDeadline): void {
  const { socket } = req
  socket.once('end', deadline.cancel)
  res.once('close', () => {
    socket.off('end', deadline.cancel)
    if (!res.writableFinished) deadline.cancel()
  })
}

/** Longest time in which the client can read the rest of its response, in ms. */
const LINGER_MS = 3000

/**
 * Ends the deadline of a request that has been answered. If the caller is still sending the body, the deadline goes on until the body has
 * ended. When it passes, the connection is closed once the whole response has been written, since nobody needs the rest of the body.
 */
export function endRequest (req: IncomingMessage, res: ServerResponse, deadline: CallDeadline): void {
  if (req.complete || req.destroyed || deadline.signal.aborted) return deadline.done()
  const close = () => closeWhileReceiving(req)
  const closeOnceSent = () => {
    if (res.writableFinished) close()
    else res.once('finish', close)
  }
  deadline.signal.addEventListener('abort', closeOnceSent, { once: true })
  req.once('close', deadline.done)
}

/**
 * Ends the connection of a request whose body still arrives. Body bytes behind its close would reset it, and the client would lose what it
 * has not read of the response; they are discarded until the client closes its side.
 */
export function closeWhileReceiving (req: IncomingMessage): void {
  const { socket } = req
  socket.end()
  discardRequestBody(req)
  const timer = setTimeout(() => socket.destroy(), LINGER_MS)
  socket.once('close', () => clearTimeout(timer))
}
