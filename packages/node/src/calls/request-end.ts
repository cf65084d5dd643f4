import type { IncomingMessage, ServerResponse } from 'node:http'
import { closeInOrder } from '@orioleslip/core'
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

/**
 * Ends the deadline of a request that has been answered. If the caller is still sending the body, the deadline goes on until the body has
 * ended. When it passes, the connection is closed once the whole response has been written, since nobody needs the rest of the body.
 */
export function endRequest (req: IncomingMessage, res: ServerResponse, deadline: CallDeadline): void {
  if (req.complete || req.destroyed || deadline.signal.aborted) return deadline.done()
  const close = () => closeInOrder(req.socket)
  const closeOnceSent = () => {
    if (res.writableFinished) close()
    else res.once('finish', close)
  }
  deadline.signal.addEventListener('abort', closeOnceSent, { once: true })
  req.once('close', deadline.done)
}
