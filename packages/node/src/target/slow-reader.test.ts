import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { createCanceller, systemClock } from '@orioleslip/core'
import { readAll } from '../links/byte-queue.js'
import { createTargetClient, type TargetReply } from './target-client.js'

/** More than the client buffers for a slow reader, and less than the socket does beside it. */
const BODY_BYTES = 300 * 1024
const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n'
const UNFRAMED = `${HEAD}\r\n`
const FRAMED = `${HEAD}Content-Length: ${BODY_BYTES}\r\n\r\n`
/** Time after which the body is read, in ms. */
const SHORT_MS = 200
const LONG_MS = 1300

/** Sends a request to a target that handles its connection with `respond`; returns the reply. */
async function callTarget (t: ExecutionContext, respond: (socket: Socket) => void): Promise<Extract<TargetReply, { kind: 'head' }>> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => respond(socket))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  const client = createTargetClient({ host: '127.0.0.1', port: (server.address() as AddressInfo).port }, 1, { acceptUnframed: true })
  t.teardown(() => client.close())
  const reply = await client.run({ method: 'GET', path: '/', headers: ['host', 'a'], body: { kind: 'none' }, signal: createCanceller().signal })
  if (reply.kind !== 'head') throw new Error(`the call ended as ${reply.kind}`)
  return reply
}

/** Reads the body after a while; returns its length, or 'cut'. */
async function readLate (reply: Extract<TargetReply, { kind: 'head' }>, lateMs: number): Promise<number | 'cut'> {
  await systemClock.sleep(lateMs)
  return await readAll(reply.body, Infinity).then((bytes) => bytes!.length, () => 'cut')
}

const CASES: Array<[string, string, number, 'end' | 'reset', number | 'cut']> = [
  ['without a length ends in order', UNFRAMED, BODY_BYTES, 'end', BODY_BYTES],
  ['without a length is reset', UNFRAMED, BODY_BYTES, 'reset', 'cut'],
  ['with a length ends whole', FRAMED, BODY_BYTES, 'end', BODY_BYTES],
  ['with a length ends short', FRAMED, BODY_BYTES - 1000, 'end', 'cut'],
  ['with a length is reset before its end', FRAMED, BODY_BYTES - 1000, 'reset', 'cut']
]

// Guards against a node that ends by an assertion of undici, when the connection of a response ends while its reader is slow.
for (const [name, head, bytes, how, wanted] of CASES) {
  test(`a response ${name} while it is paused`, async (t) => {
    const reply = await callTarget(t, (socket) => {
      socket.write(head)
      socket.write(Buffer.alloc(bytes))
      if (how === 'end') socket.end()
      else setTimeout(() => socket.resetAndDestroy(), SHORT_MS / 2)
    })
    t.is(await readLate(reply, SHORT_MS), wanted)
  })
}

// Guards against a cut response that looks whole: the target closes a connection whose bytes nobody reads, in order.
test('a response without a length that was not read for a second is cut', async (t) => {
  const reply = await callTarget(t, (socket) => {
    socket.write(UNFRAMED)
    socket.write(Buffer.alloc(64 * BODY_BYTES))
    setTimeout(() => socket.destroy(), LONG_MS - SHORT_MS)
  })
  t.is(await readLate(reply, LONG_MS), 'cut')
})
