import { once } from 'node:events'
import { Agent, request, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect } from 'node:net'
import test from 'ava'
import { startCallerServer } from './caller-server.js'

const host = '127.0.0.1'

async function get (port: number, agent: Agent): Promise<IncomingMessage> {
  const req = request({ host, port, path: '/a/b', agent }).end()
  const [res] = await once(req, 'response') as [IncomingMessage]
  res.resume()
  await once(res, 'end')
  return res
}

// Guards against keep-alive connections that stay open after a refusal by a stopping node: the client loses a request that it sends on one
// while the process exits.
test('every response of a stopping node closes its connection', async (t) => {
  let stopping = false
  const handle = async (_req: IncomingMessage, res: ServerResponse) => {
    res.writeHead(503, ['content-length', '0'])
    res.end()
  }
  const server = await startCallerServer({ host, port: 0 }, handle, handle, { stopping: () => stopping })
  const agent = new Agent({ keepAlive: true })
  t.is((await get(server.port, agent)).headers.connection, 'keep-alive')
  stopping = true
  t.is((await get(server.port, agent)).headers.connection, 'close')
  agent.destroy()
  await server.drain()
})

// Guards against a request that arrives just before the stop and whose connection is closed before its response is sent.
test('a drain completes open requests and accepts no new connections', async (t) => {
  let arrived: () => void = () => {}
  let release: () => void = () => {}
  const atServer = new Promise<void>((resolve) => { arrived = resolve })
  const released = new Promise<void>((resolve) => { release = resolve })
  const handle = async (_req: IncomingMessage, res: ServerResponse) => {
    arrived()
    await released
    res.writeHead(503, ['content-length', '0'])
    res.end()
  }
  const server = await startCallerServer({ host, port: 0 }, handle, handle, { stopping: () => true })
  const open = get(server.port, new Agent({ keepAlive: true }))
  await atServer
  const drained = server.drain()
  const late = await get(server.port, new Agent()).catch((err: NodeJS.ErrnoException) => err.code)
  t.is(late, 'ECONNREFUSED')
  release()
  t.is((await open).statusCode, 503)
  await drained
  t.pass()
})

// Guards against a request that is discarded without an answer because it arrived at a kept connection just before the listener was closed.
test('a drain answers the requests that have arrived and are not read yet', async (t) => {
  const handle = async (_req: IncomingMessage, res: ServerResponse) => { res.end('ok') }
  const server = await startCallerServer({ host, port: 0 }, handle, handle)
  const socket = connect({ host, port: server.port })
  const ended = once(socket, 'close')
  socket.setEncoding('utf8')
  let text = ''
  socket.on('data', (chunk: string) => { text += chunk })
  const send = () => socket.write('GET /a/b HTTP/1.1\r\nhost: a\r\n\r\n')
  send()
  await once(socket, 'data')
  text = ''
  send()
  await server.drain()
  await ended
  t.regex(text, /^HTTP\/1\.1 200 /)
})

// Guards against a deadline that starts late: a turn of a busy process may take long, and what it reads last has waited for all of it.
test('a request has waited for the time in which its turn of the event loop handled others', async (t) => {
  const workMs = 300
  const waits: number[] = []
  const handle = async (_req: IncomingMessage, res: ServerResponse, waitedMs: number) => {
    waits.push(waitedMs)
    if (waits.length === 3) Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, workMs)
    res.end()
  }
  const server = await startCallerServer({ host, port: 0 }, handle, handle)
  const sockets = [connect({ host, port: server.port }), connect({ host, port: server.port })]
  const send = () => { for (const socket of sockets) socket.write('GET /a/b HTTP/1.1\r\nhost: a\r\n\r\n') }
  await Promise.all(sockets.map((socket) => once(socket, 'connect')))
  const answered = Promise.all(sockets.map((socket) => once(socket, 'data')))
  send()
  await answered
  const answeredAgain = Promise.all(sockets.map((socket) => once(socket, 'data')))
  send()
  await answeredAgain
  t.true(waits[2]! < workMs)
  t.true(waits[3]! >= workMs)
  server.abort()
  await server.drain()
})
