import type { IncomingMessage, ServerResponse } from 'node:http'

type Handle = (req: IncomingMessage, res: ServerResponse, waitedMs: number) => Promise<void>

/** A request handler with the number of requests that it is still handling, which a drain waits for. */
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
        open--
      }
    },
    openRequests: () => open
  }
}
