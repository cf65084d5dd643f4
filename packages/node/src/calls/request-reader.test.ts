import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { discardRequestBody } from '@orioleslip/core'
import test, { type ExecutionContext } from 'ava'
import { startCallerServer } from '../server/caller-server.js'
import { createRequestReader } from './request-reader.js'

const host = '127.0.0.1'
const BODY_BYTES = 100_000
const HEAD = 'PUT /a/b HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'

/** Reads the body of the one request to a server; resolves with its pieces, and `cut` if it ended early. */
async function readPieces (t: ExecutionContext, send: (write: (text: string) => void, end: () => void) => void) {
  const pieces: number[] = []
  let done: (result: 'whole' | 'cut') => void = () => {}
  const ended = new Promise<'whole' | 'cut'>((resolve) => { done = resolve })
  const handle = async (req: IncomingMessage, res: ServerResponse) => {
    const read = createRequestReader(req)
    try {
      for (let piece = await read(); piece !== undefined; piece = await read()) pieces.push(piece.length)
      done('whole')
    } catch {
      done('cut')
    }
    res.end()
  }
  const server = await startCallerServer({ host, port: 0 }, handle, handle)
  const socket = connect(server.port, host)
  await once(socket, 'connect')
  socket.write(HEAD)
  send((text) => socket.write(text), () => socket.destroy())
  const result = await ended
  socket.destroy()
  server.abort()
  await server.drain()
  t.true(pieces.every((bytes) => bytes > 0))
  return { result, bytes: pieces.reduce((sum, bytes) => sum + bytes, 0), pieces: pieces.length }
}

// Guards against a body that is handled byte by byte, each as an object of hundreds of bytes, because its chunks are small.
test('chunks of one byte are joined', async (t) => {
  const { result, bytes, pieces } = await readPieces(t, (write) => write(`${'1\r\na\r\n'.repeat(BODY_BYTES)}0\r\n\r\n`))
  t.is(result, 'whole')
  t.is(bytes, BODY_BYTES)
  t.true(pieces < BODY_BYTES / 100, `${pieces} pieces`)
})

/** Uploads in small chunks that arrive at the same time, and turns of the event loop in which they are watched, after the first ones. */
const UPLOADS = 8
const WATCHED_TURNS = 60
const FIRST_TURNS = 30

// Guards against other requests that wait for seconds because each turn of the event loop reads all uploads in small chunks.
test('uploads in chunks of one byte are read in turns', async (t) => {
  const read: IncomingMessage[] = []
  const handle = async (req: IncomingMessage) => {
    read.push(req)
    const next = createRequestReader(req)
    while (await next() !== undefined);
  }
  const server = await startCallerServer({ host, port: 0 }, (req) => handle(req).catch(() => {}), handle)
  const clients = Array.from({ length: UPLOADS }, () => connect(server.port, host))
  for (const client of clients) {
    const write = () => { while (client.write('1\r\na\r\n'.repeat(10_000))); }
    client.on('drain', write)
    client.write(HEAD)
    write()
  }
  const bytesRead = () => read.map(({ socket }) => socket.bytesRead)
  const readPerTurn: number[] = []
  for (let turn = 0; turn < FIRST_TURNS + WATCHED_TURNS; turn++) {
    const before = bytesRead()
    await nextTurn()
    const after = bytesRead()
    if (turn >= FIRST_TURNS) readPerTurn.push(after.filter((bytes, i) => bytes !== before[i]).length)
  }
  t.log({ most: Math.max(...readPerTurn), all: readPerTurn.reduce((sum, count) => sum + count, 0) })
  for (const client of clients) client.destroy()
  server.abort()
  await server.drain()
  t.is(read.length, UPLOADS)
  t.true(Math.max(...readPerTurn) <= 2)
})

test('a body that its caller breaks off is not taken for whole', async (t) => {
  const { result } = await readPieces(t, (write, end) => {
    write('5\r\nhello\r\n')
    setTimeout(end, 50)
  })
  t.is(result, 'cut')
})

const PUT = 'PUT /a HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello'

// Guards against a request that runs with an empty body: it arrived whole, but its connection was reset before any of its body was read
// (review/11).
test('the body of a request that was destroyed before it was read is not taken for whole', async (t) => {
  const requests = createRequestHolder()
  const handle = async (req: IncomingMessage) => { requests.add(req) }
  const server = await startCallerServer({ host, port: 0 }, handle, handle)
  const socket = connect(server.port, host)
  socket.on('error', () => {})
  socket.write(PUT)
  const req = await requests.next()
  while (!req.complete) await new Promise((resolve) => setTimeout(resolve, 10))
  const closed = once(req, 'close').catch(() => {})
  socket.resetAndDestroy()
  await closed
  t.true(req.destroyed && req.complete)
  await t.throwsAsync(createRequestReader(req)(), { message: /closed the connection/ })
  await server.drain()
})

// Guards against a part of a body that is passed on as a whole one, because the rest was discarded when the request was refused.
test('a body whose rest is discarded is not taken for whole', async (t) => {
  const requests = createRequestHolder()
  const handle = async (req: IncomingMessage) => { requests.add(req) }
  const server = await startCallerServer({ host, port: 0 }, handle, handle)
  const socket = connect(server.port, host)
  socket.write(`${HEAD}5\r\nhello\r\n`)
  const req = await requests.next()
  const read = createRequestReader(req)
  t.is((await read())?.length, 5)
  discardRequestBody(req)
  socket.write('5\r\nhello\r\n0\r\n\r\n')
  await t.throwsAsync(read())
  socket.destroy()
  await server.drain()
})

/** Creates a holder of the next request that a server gets. */
function createRequestHolder () {
  let add: (req: IncomingMessage) => void = () => {}
  const first = new Promise<IncomingMessage>((resolve) => { add = resolve })
  return { add: (req: IncomingMessage) => add(req), next: () => first }
}
