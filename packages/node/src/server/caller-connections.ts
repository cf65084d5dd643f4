import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** A caller's connection that has ended before each of its requests got a whole response. */
export type UnansweredEnd = {
  /** Requests that were handled, and may have been passed on, without a whole response. */
  unanswered: IncomingMessage[]
  /** True if this node closed the connection with a response, false if the caller or the network did. */
  byResponse: boolean
}

/** Follows the requests of callers' connections. */
export type CallerConnections = {
  /** Handles a request of a connection. */
  handle: (req: IncomingMessage, res: ServerResponse, handler: () => void) => void
}

type Connection = { open: Set<IncomingMessage>, byResponse: boolean }

/** Creates the registry; `onUnanswered` is called for each connection that ends with requests without a whole response. */
export function createCallerConnections (onUnanswered: (end: UnansweredEnd) => void): CallerConnections {
  const connections = new WeakMap<Socket, Connection>()

  const connectionOf = (socket: Socket): Connection => {
    const known = connections.get(socket)
    if (known !== undefined) return known
    const connection: Connection = { open: new Set(), byResponse: false }
    connections.set(socket, connection)
    socket.once('close', () => {
      const { open, byResponse } = connection
      if (open.size > 0) onUnanswered({ unanswered: [...open], byResponse })
    })
    return connection
  }

  return {
    handle: (req, res, handler) => {
      const connection = connectionOf(req.socket)
      connection.open.add(req)
      res.once('finish', () => {
        connection.open.delete(req)
        connection.byResponse = !res.shouldKeepAlive
      })
      handler()
    }
  }
}
