import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect, type Socket } from 'node:net'
import { systemClock } from '@orioleslip/core'
import { socketClosed } from '@orioleslip/core/testing'
import test, { type ExecutionContext } from 'ava'
import { createSocketReads } from '../net/socket-reads.js'
import type { UnansweredEnd } from './caller-connections.js'
import { startCallerServer, type CallerServerOptions } from './caller-server.js'

const host = '127.0.0.1'

/** Starts a server whose requests are answered by `answer`, by their path, and connects to it. */
async function startServer (t: ExecutionContext, options: CallerServerOptions = {}) {
  const requests = new Map<string, ServerResponse>()
  const started: string[] = []
  const waited: number[] = []
  const handle = async (req: IncomingMessage, res: ServerResponse, waitedMs: number) => {
    started.push(req.url!)
    waited.push(waitedMs)
    req.resume()
    requests.set(req.url!, res)
  }
  // Reads of the tests beside this one don't count.
  const reads = createSocketReads(systemClock)
  const server = await startCallerServer({ host, port: 0 }, handle, handle, { reads, ...options })
  const socket = connect(server.port, host)
  let text = ''
  socket.on('data', (chunk: Buffer) => { text += chunk.toString() })
  socket.on('error', () => {})
  await once(socket, 'connect')
  t.teardown(() => {
    socket.destroy()
    server.abort()
    return server.drain()
  })
  const answerWith = (path: string, body: string) => requests.get(path)!.writeHead(200, ['content-length', String(body.length)]).end(body)
  return { socket, started, waited, answer: (path: string) => answerWith(path, path), answerWith, received: () => text }
}

const get = (...paths: string[]) => paths.map((path) => `GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`).join('')

async function until (t: ExecutionContext, check: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !check(); i++) await new Promise((resolve) => setTimeout(resolve, 10))
  t.true(check())
}

async function closed (socket: Socket): Promise<void> {
  const ended = socketClosed(socket)
  socket.resume()
  await ended
}

// Guards against logs that say that all went well when a request that was passed on got no answer.
test('the end of a connection with an open request is reported', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started } = await startServer(t, { onUnanswered: (end) => ends.push(end) })
  socket.write(get('/a'))
  await until(t, () => started.length === 1)
  socket.destroy()
  await until(t, () => ends.length === 1)
  t.deepEqual([ends[0]!.unanswered.map((req) => req.url), ends[0]!.byResponse], [['/a'], false])
})

test('the end of a connection whose requests are answered is not reported', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started, answer } = await startServer(t, { stopping: () => true, onUnanswered: (end) => ends.push(end) })
  socket.write(get('/a'))
  await until(t, () => started.length === 1)
  answer('/a')
  await closed(socket)
  t.deepEqual(ends, [])
})

// Guards against a request that runs although its response can't be sent any more, because an earlier one closes the connection.
test('a request behind a response that closes the connection is not handled', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started, answer, received } = await startServer(t, { stopping: () => true, onUnanswered: (end) => ends.push(end) })
  socket.write(get('/a', '/b', '/c'))
  await until(t, () => started.length === 1)
  answer('/a')
  await closed(socket)
  t.true(received().endsWith('/a'))
  t.deepEqual(started, ['/a'])
  // The client closes its side first.
  await until(t, () => ends.length === 1)
  t.deepEqual(ends.map(({ unanswered, unread, byResponse }) => [unanswered.length, unread, byResponse]), [[0, 2, true]])
})

/** Bytes of a response that its client reads slowly, time for which it does not read, and between its further requests, in ms. */
const LARGE_BYTES = 300_000
const UNREAD_MS = 300
const SEND_MS = 5

// Guards against an answer that is lost in a planned stop, because the close behind it resets the connection when further requests of its
// client arrive (review/12), and against further requests that are passed on although their answers can't be sent any more.
test('the response that closes a connection arrives whole while its client sends further requests, none of which is handled', async (t) => {
  const { socket, started, answerWith, received } = await startServer(t, { stopping: () => true })
  let isReset = false
  socket.on('error', () => { isReset = true })
  socket.pause()
  const ended = socketClosed(socket)
  const sending = setInterval(() => socket.write(get('/behind')), SEND_MS)
  t.teardown(() => clearInterval(sending))
  socket.write(get('/a'))
  await until(t, () => started.includes('/a'))
  answerWith('/a', 'x'.repeat(LARGE_BYTES))
  await new Promise((resolve) => setTimeout(resolve, UNREAD_MS))
  socket.resume()
  socket.once('end', () => clearInterval(sending))
  await ended
  t.false(isReset)
  t.true(received().endsWith('x'.repeat(LARGE_BYTES)))
  t.deepEqual(started, ['/a'])
})

// Guards against requests that are passed on although their client has left.
test('a request behind the one that is open when the client leaves is not handled', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started } = await startServer(t, { onUnanswered: (end) => ends.push(end) })
  socket.write(get('/a', '/b'))
  await until(t, () => started.length === 1)
  socket.destroy()
  await until(t, () => ends.length === 1)
  t.deepEqual([started, ends[0]!.unanswered.length, ends[0]!.unread], [['/a'], 1, 1])
})

/** More than the buffers of a connection hold, in bytes. */
const UNSENT_BYTES = 32 * 1024 * 1024

// Guards against a request that runs although its connection was reset while the response before it was written: the write that fails ends
// that response, and Node.js goes on to the next one (review/11).
test('a request behind a response during which the connection is reset is not handled', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started, answerWith } = await startServer(t, { onUnanswered: (end) => ends.push(end) })
  socket.pause()
  socket.write(`${get('/a')}PUT /b HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello`)
  await until(t, () => started.length === 1)
  answerWith('/a', 'x'.repeat(UNSENT_BYTES))
  await new Promise((resolve) => setTimeout(resolve, SEND_MS))
  socket.resetAndDestroy()
  await until(t, () => ends.length === 1)
  await new Promise((resolve) => setTimeout(resolve, SEND_MS))
  t.deepEqual([started, ends[0]!.unanswered.map((req) => req.url), ends[0]!.unread], [['/a'], ['/a'], 1])
})

test('requests on one connection are handled in turn, and each learns for how long it has waited', async (t) => {
  const { socket, started, waited, answer, received } = await startServer(t)
  const body = 'b'.repeat(200_000)
  socket.write(`${get('/a')}PUT /b HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}${get('/c')}`)
  await until(t, () => started.length === 1)
  await new Promise((resolve) => setTimeout(resolve, 100))
  for (const path of ['/a', '/b', '/c']) {
    await until(t, () => started.at(-1) === path)
    answer(path)
  }
  await until(t, () => received().endsWith('/c'))
  t.deepEqual(started, ['/a', '/b', '/c'])
  t.is(waited[0], 0)
  t.true(waited[1]! >= 90)
})

/** Requests that one read of a connection contains at most. */
const MAX_READ_REQUESTS = 64 * 1024 / get('/0').length + 1

// Guards against a node whose memory fills with requests that wait for the first one of their connection.
test('a connection with many waiting requests is not read further', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started, answer } = await startServer(t, { onUnanswered: (end) => ends.push(end) })
  socket.write(get(...Array.from({ length: 20_000 }, (_, i) => `/${i}`)))
  await until(t, () => started.length === 1)
  await new Promise((resolve) => setTimeout(resolve, 200))
  socket.destroy()
  // The node finds the end of the connection when it writes or reads again.
  for (let i = 0; ends.length === 0; i++) {
    await until(t, () => started.length > i || ends.length > 0)
    if (ends.length === 0) answer(`/${i}`)
  }
  t.true(ends[0]!.unread < MAX_READ_REQUESTS, `${ends[0]!.unread} requests were read`)
})

test('all of many requests on one connection are answered', async (t) => {
  const { socket, started, answer, received } = await startServer(t)
  const paths = Array.from({ length: 3000 }, (_, i) => `/${i}`)
  socket.write(get(...paths))
  for (const [i, path] of paths.entries()) {
    while (started.length <= i) await new Promise((resolve) => setImmediate(resolve))
    answer(path)
  }
  await until(t, () => received().endsWith('/2999'))
  t.deepEqual(started, paths)
})

const MALFORMED = [
  ['bytes that are no request', 'this is no request\r\n\r\n', 400],
  ['a head that is too large', `GET / HTTP/1.1\r\nhost: x\r\nx-filler: ${'f'.repeat(70_000)}\r\n\r\n`, 431],
  ['a body in malformed chunks', 'PUT /c HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n', 400]
] as const

const statusesIn = (text: string) => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status))

// Guards against a refusal of malformed bytes that the client takes for the response to an earlier request, which is being handled.
for (const [name, bytes, status] of MALFORMED) {
  test(`${name} behind other requests: these are answered first`, async (t) => {
    const { socket, started, answer, received } = await startServer(t)
    const ended = closed(socket)
    socket.write(get('/a', '/b') + bytes)
    for (const path of ['/a', '/b']) {
      await until(t, () => started.at(-1) === path)
      await new Promise((resolve) => setTimeout(resolve, 50))
      t.deepEqual(statusesIn(received()), path === '/a' ? [] : [200])
      answer(path)
    }
    await ended
    t.deepEqual(statusesIn(received()), [200, 200, status])
  })

  test(`${name} without other requests: refused at once`, async (t) => {
    const { socket, received } = await startServer(t)
    const ended = closed(socket)
    socket.write(bytes)
    await ended
    t.deepEqual(statusesIn(received()), [status])
  })
}

test('a client that leaves behind malformed bytes ends its open request', async (t) => {
  const ends: UnansweredEnd[] = []
  const { socket, started } = await startServer(t, { onUnanswered: (end) => ends.push(end) })
  socket.write(`${get('/a')}this is no request\r\n\r\n`)
  await until(t, () => started.length === 1)
  socket.end()
  await until(t, () => ends.length === 1)
  t.is(ends[0]!.unanswered.length, 1)
})
