import type { IncomingMessage, ServerResponse } from 'node:http'

type Handle = (req: IncomingMessage, res: ServerResponse, waitedMs: number) => Promise<void>

/** A request handler with the number of requests whose responses have not been written whole, which a drain waits for. */
export type CountedHandler = { handle: Handle, openRequests: () => number }

/** Wraps a handler so that its open requests are counted. */
export function countOpenRequests (handleRequest: Handle): CountedHandler {
  let open = 0
  return {
    handle: async (req, res, waitedMs) => {
      open++
      try {
        await handleRequest(req, res, waitedMs)
      } finally {
        const ended = () => { open-- }
        // A client that reads slowly has not got all of its response yet.
        if (res.writableFinished || res.destroyed) ended()
        else res.once('close', ended)
      }
    },
    openRequests: () => open
  }
}
