import { EventEmitter, once } from 'node:events'
import { createServer, type RequestListener, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { socketClosed } from '../testing/socket-closed.js'
import { closeConnectionsInOrder, closeInOrder, stopServer, trackIdleConnections } from './close-in-order.js'

const HOST = '127.0.0.1'
/** Size of a response that lies in the buffers of its connection while the client does not read. */
const ANSWER_BYTES = 300_000
const ANSWER = Buffer.alloc(ANSWER_BYTES, 'a')
const REQUEST = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
/** Time between two requests that a client sends behind the last one, in ms. */
const SEND_MS = 10
const MAX_POLLS = 500
/** Idle timeout of the servers, in ms. */
const IDLE_MS = 100
/** Time for which a client reads nothing, in ms. */
const UNREAD_MS = 400
/** Longest time for which a closed connection is read on, and some for the end of the test, in ms. */
const LINGER_MS = 3000
const SLACK_MS = 1500

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

async function startServer (t: ExecutionContext, listener: RequestListener): Promise<{ server: Server, port: number }> {
  const server = createServer(listener)
  closeConnectionsInOrder(server, trackIdleConnections(server))
  server.listen(0, HOST)
  await once(server, 'listening')
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return { server, port: (server.address() as AddressInfo).port }
}

/** The next connection that a server accepts. */
async function connectionOf (server: Server): Promise<Socket> {
  const [socket] = await once(server, 'connection') as [Socket]
  return socket
}

/** Opens a connection on which nothing is read before `read` is called. */
function openClient (t: ExecutionContext, port: number) {
  const socket = connect({ port, host: HOST, allowHalfOpen: true })
  t.teardown(() => socket.destroy())
  let receivedBytes = 0
  let error: string | undefined
  socket.on('error', (err: NodeJS.ErrnoException) => { error = err.code })
  return {
    socket,
    closed: socketClosed(socket),
    read: () => { socket.on('data', (chunk: Buffer) => { receivedBytes += chunk.length }) },
    result: () => ({ receivedBytes, error })
  }
}

/** A client that reads nothing at first, and sends requests until it has read the end of the connection. */
async function startSlowReader (t: ExecutionContext, port: number) {
  const { socket, closed, read, result } = openClient(t, port)
  await once(socket, 'connect')
  const sending = setInterval(() => socket.write(REQUEST), SEND_MS)
  t.teardown(() => clearInterval(sending))
  const readAll = async () => {
    await sleep(UNREAD_MS)
    read()
    await Promise.race([once(socket, 'end').catch(() => {}), closed])
    clearInterval(sending)
    socket.end()
    await closed
    return result()
  }
  return { readAll }
}

// Guards against an answer that is lost because further requests of its client arrive behind the one that closes the connection.
test('the client gets the whole response that ends its connection while it sends further requests', async (t) => {
  let requests = 0
  const { port } = await startServer(t, (_req, res) => {
    requests++
    res.writeHead(200, { 'content-length': ANSWER_BYTES, connection: 'close' }).end(ANSWER)
  })
  const { readAll } = await startSlowReader(t, port)
  const { receivedBytes, error } = await readAll()
  t.is(error, undefined)
  t.true(receivedBytes > ANSWER_BYTES, `${receivedBytes} bytes`)
  t.is(requests, 1)
})

// Guards against an answer that lies unread at its client when the idle connection is closed, and is lost as a further request arrives.
for (const [name, close] of [
  ['the idle timeout', () => {}],
  ['a stop', (server: Server) => { stopServer(server, LINGER_MS) }]
] as const) {
  test(`the client gets the whole last response when ${name} closes its connection`, async (t) => {
    const answers = new EventEmitter()
    const { server, port } = await startServer(t, (_req, res) => {
      res.once('close', () => answers.emit('written'))
      res.writeHead(200, { 'content-length': ANSWER_BYTES }).end(ANSWER)
    })
    server.keepAliveTimeout = IDLE_MS
    const answered = once(answers, 'written')
    const accepted = connectionOf(server)
    const { socket, closed, read, result } = openClient(t, port)
    socket.write(REQUEST)
    await answered
    close(server)
    const serverSocket = await accepted
    for (let i = 0; i < MAX_POLLS && !serverSocket.writableEnded && !serverSocket.destroyed; i++) await sleep(SEND_MS)
    socket.write(REQUEST)
    await sleep(UNREAD_MS)
    socket.write(REQUEST)
    read()
    socket.on('end', () => socket.end())
    await closed
    const { receivedBytes, error } = result()
    t.is(error, undefined)
    t.true(receivedBytes > ANSWER_BYTES, `${receivedBytes} bytes`)
  })
}

/** Starts a server that ends each connection with its first response, and opens a connection that `startSending` sends on. */
async function openEndedConnection (t: ExecutionContext, listener: RequestListener, startSending: (socket: Socket) => NodeJS.Timeout) {
  const { server, port } = await startServer(t, listener)
  const accepted = connectionOf(server)
  const socket = connect({ port, host: HOST, allowHalfOpen: true })
  t.teardown(() => socket.destroy())
  socket.on('error', () => {})
  socket.write('PUT / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n')
  const sending = startSending(socket)
  t.teardown(() => clearInterval(sending))
  const serverSocket = await accepted
  await once(socket, 'data')
  const startMs = performance.now()
  await socketClosed(serverSocket)
  return { ms: performance.now() - startMs, bytesRead: serverSocket.bytesRead }
}

const endConnection: RequestListener = (_req, res) => { res.writeHead(200, { 'content-length': 2, connection: 'close' }).end('ok') }

// Guards against clients that hold connections open for ever.
test('the connection of a client that keeps its side open is closed after a limited time', async (t) => {
  const { ms } = await openEndedConnection(t, endConnection, () => setInterval(() => {}, LINGER_MS))
  t.true(ms < LINGER_MS + SLACK_MS, `${ms} ms`)
})

/** Bytes that are read for certain before the connection of a client that sends for ever is closed, and those that may be read. */
const MIN_DISCARDED_BYTES = 10_000_000
const MAX_DISCARDED_BYTES = 400_000_000
const CHUNK = `40000\r\n${'x'.repeat(0x40000)}\r\n`

// Guards against a client that sends for ever and takes the processor time of all others, and against bytes that lie unread and reset the
// connection: a request's body is read by its listener, or has not been.
for (const [name, listener] of [
  ['is being read', (req, res) => { endConnection(req.resume(), res) }],
  ['is not read', endConnection]
] as ReadonlyArray<[string, RequestListener]>) {
  test(`the connection of a client whose body has no end and ${name} is closed after a limited time`, async (t) => {
    const { ms, bytesRead } = await openEndedConnection(t, listener, (socket) => setInterval(() => {
      while (socket.write(CHUNK)) continue
    }, 1))
    t.true(ms < LINGER_MS + SLACK_MS, `${ms} ms`)
    t.true(bytesRead > MIN_DISCARDED_BYTES && bytesRead < MAX_DISCARDED_BYTES, `${bytesRead} bytes`)
  })
}

test('a connection that is closed already is left alone', async (t) => {
  const { server, port } = await startServer(t, () => {})
  const accepted = connectionOf(server)
  const client = connect(port, HOST)
  const socket = await accepted
  const closed = socketClosed(socket)
  client.destroy()
  await closed
  closeInOrder(socket)
  t.true(socket.destroyed)
})

test('a stop waits for open requests, and cuts those that are open at its end', async (t) => {
  const paths: Array<string | undefined> = []
  const { server, port } = await startServer(t, (req, res) => {
    paths.push(req.url)
    if (req.url === '/soon') setTimeout(() => res.end('ok'), 100)
  })
  const fetchText = (path: string) => fetch(`http://${HOST}:${port}${path}`).then((res) => res.text(), () => 'cut')
  const replies = Promise.all([fetchText('/soon'), fetchText('/never')])
  for (let i = 0; i < MAX_POLLS && paths.length < 2; i++) await sleep(SEND_MS)
  await stopServer(server, UNREAD_MS)
  t.deepEqual(await replies, ['ok', 'cut'])
})

// Guards against a request that is discarded without an answer because it arrived at a kept connection while a stopping process was busy.
test('a stop answers the requests that have arrived and are not read yet', async (t) => {
  const { server, port } = await startServer(t, (_req, res) => { res.end('ok') })
  const accepted = connectionOf(server)
  const { socket, closed, read, result } = openClient(t, port)
  await accepted
  read()
  socket.on('end', () => socket.end())
  socket.write(REQUEST)
  await stopServer(server, UNREAD_MS)
  await closed
  const { receivedBytes, error } = result()
  t.is(error, undefined)
  t.true(receivedBytes > 0)
})

/** Time by which a stop that only waits for clients of idle connections has ended, in ms. */
const STOPPED_MS = 2000

// Guards against a process that outlives its grace time because a client keeps an idle connection open.
test('a stop does not wait long for clients that keep idle connections open', async (t) => {
  const { server, port } = await startServer(t, (_req, res) => { res.end('ok') })
  const socket = connect({ port, host: HOST, allowHalfOpen: true })
  t.teardown(() => socket.destroy())
  socket.on('error', () => {})
  socket.write(REQUEST)
  await once(socket, 'data')
  const startMs = performance.now()
  await stopServer(server, 2 * LINGER_MS)
  const ms = performance.now() - startMs
  t.true(ms < STOPPED_MS, `${ms} ms`)
})
