import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { systemClock } from '@orioleslip/core'
import { socketClosed } from '@orioleslip/core/testing'
import test, { type ExecutionContext } from 'ava'
import { startCallerServer } from '../server/caller-server.js'
import { startDeadline } from './call-deadline.js'
import { endRequest } from './request-end.js'

const host = '127.0.0.1'
const DEADLINE_MS = 300
/** Longer than the deadline, in ms. */
const LATE_MS = 2 * DEADLINE_MS
const CHUNK = '5\r\nhello\r\n'

/** Starts a server that answers each request with `body` before it has read the request's body; returns a client's connection to it. */
async function connectToEarlyResponder (t: ExecutionContext, body: Buffer): Promise<Socket> {
  const respond = async (req: IncomingMessage, res: ServerResponse) => {
    const deadline = startDeadline(DEADLINE_MS, systemClock.nowMs)
    res.writeHead(200, ['content-length', String(body.length)])
    res.end(body)
    endRequest(req, res, deadline)
  }
  const server = await startCallerServer({ host, port: 0 }, respond, respond)
  const socket = connect(server.port, host)
  t.teardown(async () => {
    socket.destroy()
    await server.drain()
  })
  socket.on('error', () => {})
  socket.write('POST /a/b HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n')
  return socket
}

// Guards against a connection that stays open for a body without end, although its request was answered long ago.
test('the connection of an answered request is closed at the deadline while its body still arrives', async (t) => {
  const socket = await connectToEarlyResponder(t, Buffer.alloc(100))
  const sending = setInterval(() => socket.write(CHUNK), 20)
  t.teardown(() => clearInterval(sending))
  socket.resume()
  const isClosed = await Promise.race([socketClosed(socket).then(() => true), systemClock.sleep(10 * DEADLINE_MS).then(() => false)])
  t.true(isClosed)
})

test('the connection of an answered request stays open once its body has ended', async (t) => {
  const socket = await connectToEarlyResponder(t, Buffer.alloc(100))
  socket.resume()
  socket.write(`${CHUNK}0\r\n\r\n`)
  await systemClock.sleep(LATE_MS)
  t.is(socket.readyState, 'open')
})

// Guards against a response that is cut at the deadline because the client reads it slowly while it still sends its body: the large one is
// still being written then, the small one waits in the buffers of the connection, which a reset would drop.
for (const [name, bytes] of [['large', 32 * 1024 * 1024], ['small', 1024 * 1024]] as const) {
  test(`a ${name} response that the client has not read at the deadline arrives whole`, async (t) => {
    const body = Buffer.alloc(bytes)
    const socket = await connectToEarlyResponder(t, body)
    const sending = setInterval(() => socket.write(CHUNK), 20)
    t.teardown(() => clearInterval(sending))
    const closed = socketClosed(socket)
    await systemClock.sleep(LATE_MS)
    let receivedBytes = 0
    socket.on('data', (chunk: Buffer) => { receivedBytes += chunk.length })
    await closed
    t.true(receivedBytes > body.length, `${receivedBytes} bytes`)
  })
}
