import type { IncomingMessage, ServerResponse } from 'node:http'

type Handle = (req: IncomingMessage, res: ServerResponse) => Promise<void>

/** A handler of requests, and the number of those that it has not ended, for drains. */
export type CountedHandler = { handle: Handle, openRequests: () => number }

/** Counts the open requests of a handler. */
export function countOpenRequests (handleOpen: Handle): CountedHandler {
  let open = 0
  return {
    handle: async (req, res) => {
      open++
      try {
        await handleOpen(req, res)
      } finally {
        open--
      }
    },
    openRequests: () => open
  }
}
