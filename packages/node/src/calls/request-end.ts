import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CallDeadline } from './call-deadline.js'

/**
 * Ends the deadline of a request that has been answered. If the caller is still sending the body, the deadline goes on until the body has
 * ended. When it passes, the connection is closed as soon as the caller has the whole response, since nobody needs the rest of the body.
 */
export function endRequest (req: IncomingMessage, res: ServerResponse, deadline: CallDeadline): void {
  if (req.complete || req.destroyed || deadline.signal.aborted) return deadline.done()
  const close = () => { req.destroy() }
  const closeOnceSent = () => {
    if (res.writableFinished) close()
    else res.once('finish', close)
  }
  deadline.signal.addEventListener('abort', closeOnceSent, { once: true })
  req.once('close', deadline.done)
}
