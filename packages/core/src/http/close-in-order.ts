import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** Longest time for which a closed connection is read on, in ms; a stop waits less for the clients of idle ones. */
const LINGER_MS = 3000
const STOP_LINGER_MS = 1000
/** Number of bytes that are discarded before a pause, and the pause, in ms, so that a client that sends without end costs little. */
const DISCARD_BURST_BYTES = 1024 * 1024
const DISCARD_PAUSE_MS = 20

/**
 * Closes a connection behind its last response, or behind `lastBytes` (RFC 9112, section 9.6): the writing side ends, and what still
 * arrives is discarded until the client closes its side, for a limited time. Bytes that arrive at a closed socket reset the connection,
 * and the client would lose what it has not read yet. No request is read from the connection any more.
 */
export function closeInOrder (socket: Socket, { lastBytes = '', lingerMs = LINGER_MS } = {}): void {
  if (socket.destroyed || socket.writableEnded) return
  socket.end(lastBytes)
  socket.setTimeout(0)
  discardInput(socket)
  const timer = setTimeout(() => socket.destroy(), lingerMs)
  socket.once('close', () => clearTimeout(timer))
}

function discardInput (socket: Socket): void {
  let burstBytes = 0
  const discard = (chunk: Buffer) => {
    burstBytes += chunk.length
    if (burstBytes < DISCARD_BURST_BYTES) return
    burstBytes = 0
    socket.pause()
    setTimeout(() => socket.resume(), DISCARD_PAUSE_MS)
  }
  // Node.js may have stopped to read, and its listener of this event is the one that starts again.
  socket.pause()
  socket.once('resume', () => {
    // Its listener of data would take the bytes for further requests.
    socket.removeAllListeners('data')
    socket.on('data', discard)
  })
  socket.resume()
}

/**
 * Lets a server close its connections in order: behind a response that ends its connection, after the idle timeout, and in `close` and
 * `closeIdleConnections`, for which `isIdle` tells the connections without an open request.
 */
export function closeConnectionsInOrder (server: Server, isIdle: (socket: Socket) => boolean): void {
  const sockets = new Set<Socket>()
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    // Node.js calls it once the response that ends the connection has been written.
    socket.destroySoon = () => closeInOrder(socket)
  })
  server.on('timeout', (socket) => closeInOrder(socket))
  server.closeIdleConnections = () => {
    for (const socket of sockets) if (isIdle(socket)) closeInOrder(socket, { lingerMs: STOP_LINGER_MS })
  }
}

/** Returns a function that tells the connections of a server on which no request is open. */
export function trackIdleConnections (server: Server): (socket: Socket) => boolean {
  const openRequests = new WeakMap<Socket, number>()
  const add = (socket: Socket, count: number) => openRequests.set(socket, (openRequests.get(socket) ?? 0) + count)
  server.prependListener('request', ({ socket }, res) => {
    add(socket, 1)
    res.once('close', () => add(socket, -1))
  })
  return (socket) => (openRequests.get(socket) ?? 0) === 0
}

/** Time between two looks for connections that have become idle, in ms. */
const CLOSE_IDLE_INTERVAL_MS = 50

/** Answers of a stop to the requests that are still open `afterMs` after its beginning. */
export type LastAnswers = { afterMs: number, refuseOpen: () => void }

/**
 * Stops a server whose connections close in order: open requests are answered for up to `timeoutMs`, those that remain by `last` before;
 * then their connections are cut.
 */
export function stopServer (server: Server, timeoutMs: number, last?: LastAnswers): Promise<void> {
  return new Promise((resolve) => {
    const closeIdle = setInterval(() => afterReads(() => server.closeIdleConnections()), CLOSE_IDLE_INTERVAL_MS)
    const cutAfter = (ms: number) => setTimeout(() => server.closeAllConnections(), ms)
    let timer = last === undefined
      ? cutAfter(timeoutMs)
      : setTimeout(() => {
        last.refuseOpen()
        // Started here, since in a process that comes late to its timers both would be due at once, and the refusals would not be sent.
        timer = cutAfter(timeoutMs - last.afterMs)
      }, last.afterMs)
    afterReads(() => server.close(() => {
      clearInterval(closeIdle)
      clearTimeout(timer)
      resolve()
    }))
  })
}

/**
 * Runs a task once the connections and requests that have arrived at this process are accepted and read; timers run before them. A
 * connection is read in the turn of the event loop after its acceptance.
 */
function afterReads (task: () => void): void {
  setImmediate(() => setImmediate(task))
}
