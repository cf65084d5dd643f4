import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher } from 'undici'
import { VERSION_START } from './status-line-matcher.js'

/** A connection to the target, with what is known of its use and its end. */
export type TargetConnection = {
  /** Number of calls that were sent on it, the current one included. */
  calls: number
  /** How it has ended: `closed` in order, or `reset`, also by an error of this node. */
  end: 'open' | 'closed' | 'reset'
  /** The first bytes that came since the last call was sent, without line ends before them, as far as they tell the version of HTTP. */
  responseStart: string
  /** Called when the target has closed the connection in order, before undici handles that; a paused response has to be resumed here. */
  onClosing: () => void
}

/** Options of a call that is told on which connection it is sent. */
export type ConnectedDispatchOptions = Dispatcher.DispatchOptions & {
  /** Receives a function that returns the connection, which is known once the call is sent. */
  onDispatch: (connection: () => TargetConnection) => void
}

const CONNECT_TIMEOUT_MS = 1000

/** The connections to one target. */
export type TargetConnections = {
  /** Creates the clients of a pool, each of which has one connection at a time; calls need `ConnectedDispatchOptions`. */
  factory: (origin: URL, opts: object) => Dispatcher
  /** Connections that have not ended. */
  open: () => TargetConnection[]
}

/** Creates an empty set of connections. */
export function createTargetConnections (): TargetConnections {
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
  const open = new Set<TargetConnection>()
  const factory = (origin: URL, opts: object): Dispatcher => {
    let connection = newConnection()
    const connect: buildConnector.connector = (connectOptions, callback) => connector(connectOptions, (...result) => {
      // undici leaves the socket out after an error.
      const socket = result[1] ?? undefined
      if (socket !== undefined) {
        connection = newConnection()
        watchEnd(socket, connection, open)
        watchStart(socket, connection)
      }
      callback(...result)
    })
    const client = new Client(origin, { ...opts, connect })
    const dispatch = client.dispatch.bind(client)
    client.dispatch = (options, handler) => {
      (options as ConnectedDispatchOptions).onDispatch(() => connection)
      return dispatch(options, handler)
    }
    return client
  }
  return { factory, open: () => [...open] }
}

const LINE_END = Buffer.from('\r\n')

const newConnection = (): TargetConnection => ({ calls: 0, end: 'open', responseStart: '', onClosing: () => {} })

/** Records how each response starts; undici does not tell the version of HTTP, and takes any. */
function watchStart (socket: Socket, connection: TargetConnection): void {
  const read = socket.read.bind(socket)
  socket.read = (size) => {
    const chunk = read(size) as Buffer | null
    const missing = VERSION_START.length - connection.responseStart.length
    if (chunk !== null && missing > 0) {
      const at = connection.responseStart === '' ? chunk.findIndex((byte) => !LINE_END.includes(byte)) : 0
      if (at >= 0) connection.responseStart += chunk.toString('latin1', at, at + missing)
    }
    return chunk
  }
}

/** Records how the connection ends. undici treats a reset as the end of a response without a length; these listeners run before its own. */
function watchEnd (socket: Socket, connection: TargetConnection, open: Set<TargetConnection>): void {
  open.add(connection)
  const ended = (end: 'closed' | 'reset') => {
    if (!open.delete(connection)) return
    connection.end = end
  }
  socket.prependListener('error', (err: NodeJS.ErrnoException) => {
    // undici closes a connection that is not kept with an error of its own.
    ended(err.code === 'UND_ERR_INFO' ? 'closed' : 'reset')
    // undici would try to complete the response, and fails while it is paused.
    if (err.code === 'ECONNRESET') err.code = 'UND_ERR_SOCKET'
  })
  // Node.js reports the end of a connection whose reset arrives with the last bytes; such a connection has no peer any more.
  socket.prependListener('end', () => {
    ended(socket.remoteAddress === undefined ? 'reset' : 'closed')
    connection.onClosing()
  })
  socket.prependListener('close', () => ended('closed'))
}
