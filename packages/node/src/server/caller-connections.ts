import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { bodyLength, type Clock } from '@orioleslip/core'
import { closeWithRefusal } from './malformed-bytes.js'

/** A caller's connection that has ended before each of its requests got a whole response. */
export type UnansweredEnd = {
  /** Requests that were handled, and may have been passed on, without a whole response. */
  unanswered: IncomingMessage[]
  /** Number of further requests, which were not handled. */
  unread: number
  /** True if this node closed the connection with a response, false if the caller or the network did. */
  byResponse: boolean
}

/** Orders the requests of callers' connections. */
export type CallerConnections = {
  /** Calls `handler` when the earlier requests of the connection have been answered, with the time that this one has waited, in ms. */
  handle: (req: IncomingMessage, res: ServerResponse, handler: (waitedMs: number) => void) => void
  /** Ends a connection whose next bytes are no request, once the requests before them have been answered. */
  refuseMalformed: (err: NodeJS.ErrnoException, socket: Socket) => void
  /** True if no request of the connection waits or is being handled. */
  isIdle: (socket: Socket) => boolean
}

/** Number of requests that wait on one connection before no more are read from it. */
const MAX_WAITING_REQUESTS = 32

type Connection = {
  open: Set<IncomingMessage>
  waiting: number
  /** True if the last waiting request has a body, of which nothing is read before its turn. */
  hasWaitingBody: boolean
  byResponse: boolean
  /** The request that arrived last. */
  last: { req: IncomingMessage, res: ServerResponse } | undefined
  /** Refuses what came behind the last request, or its own body; set once the bytes are malformed. */
  refuse: (() => void) | undefined
}

/**
 * Creates the order, in which the requests of a connection are handled one after the other: a response may have to end the connection, and
 * then a request behind it that has been passed on runs without a response, while one that has not can be sent again. `onUnanswered` is
 * called for each connection that ends with requests without a whole response.
 */
export function createCallerConnections (clock: Clock, onUnanswered: (end: UnansweredEnd) => void): CallerConnections {
  const connections = new WeakMap<Socket, Connection>()

  const connectionOf = (socket: Socket): Connection => {
    const known = connections.get(socket)
    if (known !== undefined) return known
    const connection: Connection = {
      open: new Set(), waiting: 0, hasWaitingBody: false, byResponse: false, last: undefined, refuse: undefined
    }
    connections.set(socket, connection)
    socket.once('close', () => {
      const { open, waiting, byResponse } = connection
      if (open.size + waiting > 0) onUnanswered({ unanswered: [...open], unread: waiting, byResponse })
    })
    return connection
  }

  const limitReading = (socket: Socket, connection: Connection): void => {
    if (socket.writableEnded) return
    const isFull = connection.waiting > MAX_WAITING_REQUESTS || connection.hasWaitingBody
    if (isFull) socket.pause()
    else if (socket.isPaused()) socket.resume()
  }

  const start = (connection: Connection, req: IncomingMessage, res: ServerResponse, handler: () => void): void => {
    connection.open.add(req)
    res.once('finish', () => {
      // The write of a response to a connection that was reset ends as well.
      if (req.socket.destroyed) return
      connection.open.delete(req)
      connection.byResponse = !res.shouldKeepAlive
    })
    handler()
  }

  return {
    handle: (req, res, handler) => {
      const { socket } = req
      // Behind the response that closes the connection there is none.
      if (socket.writableEnded) return
      const connection = connectionOf(socket)
      connection.last = { req, res }
      // Node.js assigns the socket to one response after the other.
      if (res.socket !== null) return start(connection, req, res, () => handler(0))
      const arrivedMs = clock.nowMs()
      connection.waiting++
      connection.hasWaitingBody = bodyLength(req) !== 0
      // At the end of a request Node.js resumes its socket, in the next tick.
      process.nextTick(() => process.nextTick(limitReading, socket, connection))
      res.once('socket', () => {
        if (socket.destroyed) return
        connection.waiting--
        if (connection.waiting === 0) connection.hasWaitingBody = false
        limitReading(socket, connection)
        // The response is only ready to be written once the listeners of this event have returned.
        queueMicrotask(() => {
          if (connection.refuse !== undefined && !req.complete) return connection.refuse()
          start(connection, req, res, () => handler(clock.nowMs() - arrivedMs))
        })
      })
    },
    isIdle: (socket) => {
      const connection = connections.get(socket)
      return connection === undefined || connection.open.size + connection.waiting === 0
    },
    refuseMalformed: (err, socket) => {
      if (socket.writableEnded) return
      const connection = connectionOf(socket)
      // Node.js reports each further read.
      if (connection.refuse !== undefined) return
      const { last } = connection
      const refuse = () => closeWithRefusal(socket, err, last?.res)
      connection.refuse = refuse
      if (last === undefined || last.res.writableFinished) return refuse()
      // A client that closes its side has left.
      if (socket.readableEnded) return socket.destroy()
      socket.once('end', () => socket.destroy())
      if (last.req.complete) last.res.once('finish', refuse)
      else if (last.res.socket !== null) refuse()
    }
  }
}
