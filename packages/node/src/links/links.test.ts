import test, { type ExecutionContext } from 'ava'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { once } from 'node:events'
import { notRun } from '@orioleslip/core'
import { socketClosed } from '@orioleslip/core/testing'
import { readAll } from './byte-queue.js'
import { DIAL_TIMEOUT_MS } from './dial.js'
import { MAX_HANDSHAKE_FRAME_BYTES } from './frames.js'
import type { IncomingCall } from './incoming-call.js'
import { listenForPeers } from './listener.js'
import { STREAM_WINDOW_BYTES, type CallHead, type CallReport } from './messages.js'
import { createPeerPool } from './pool.js'

const KEY = 'a-fleet-key-for-tests'
const REPORT: CallReport = { pathLevel: 3, regionBytes: 0 }

const head = (extra: Partial<CallHead> = {}): CallHead => ({
  root: {
    requestId: 'r', traceId: 't', customer: 'c', entryOpKey: 'GET s /', priority: 1, ledger: { host: '127.0.0.1', port: 1 }, region: 'r1'
  },
  service: 's',
  method: 'GET',
  path: '/',
  headers: [],
  opKey: 'GET s /',
  remainingMs: 1000,
  traceFlags: '00',
  deferBody: false,
  ...extra
})

async function createPeerPair (t: ExecutionContext, onCall: (call: IncomingCall) => void, dialerKey = KEY) {
  const rejected: string[] = []
  const listener = await listenForPeers({
    address: { host: '127.0.0.1', port: 0 },
    identity: { fleetKey: KEY, vmId: 'b' },
    handlers: { onCall, onRequest: (kind, body) => ({ kind, body }) },
    onRejected: (_remote, message) => rejected.push(message)
  })
  const address = { host: '127.0.0.1', port: listener.port }
  const pool = createPeerPool({ fleetKey: dialerKey, vmId: 'a' }, () => undefined)
  t.teardown(async () => {
    pool.close()
    await listener.close()
  })
  return { address, listener, pool, rejected, dial: async () => await pool.get(address) }
}

async function until (check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 5))
}

async function openConnection (pair: Awaited<ReturnType<typeof createPeerPair>>) {
  const found = await pair.dial()
  return 'openCall' in found ? found : found._unsafeUnwrap()
}

// Guards against bytes that are lost or reordered when the bodies are larger than the flow control window.
test('a call and its response arrive complete', async (t) => {
  const pair = await createPeerPair(t, (call) => {
    readAll(call.body, 1e9).then((body) => {
      call.respond({ status: 201, headers: ['x', 'y'] })
      call.write(body!)
      call.end(REPORT)
    }, () => {})
  })
  const connection = await openConnection(pair)
  const body = Buffer.alloc(1_000_000, 'ab')
  const call = connection.openCall(head())
  for (let at = 0; at < body.length; at += 50_000) await call.write(body.subarray(at, at + 50_000))
  call.end()
  const reply = await call.reply
  if (reply.kind !== 'head') return t.fail(reply.kind)
  t.is(reply.head.status, 201)
  t.true(body.equals((await readAll(reply.body, 1e9))!))
  t.deepEqual(await call.finish, { kind: 'complete', report: REPORT })
})

// Guards against unbounded buffering on the executor node when the target reads an upload slowly or not at all.
test('a sender waits for credit when the receiver does not read', async (t) => {
  let incoming: IncomingCall | undefined
  const pair = await createPeerPair(t, (call) => { incoming = call })
  const connection = await openConnection(pair)
  const call = connection.openCall(head())
  const chunk = Buffer.alloc(64 * 1024)
  let blocked: Promise<void> | undefined
  for (let i = 0; i < 100 && blocked === undefined; i++) blocked = call.write(chunk)
  t.truthy(blocked)
  t.true(call.bytes().sent <= STREAM_WINDOW_BYTES + chunk.length)
  await until(() => incoming !== undefined && incoming.body.size() >= STREAM_WINDOW_BYTES)
  for (let i = 0; i < 4; i++) await incoming!.body.read()
  await blocked
  t.pass()
})

// Guards against a partial response that passes for complete, when the executor aborts it after its first bytes.
test('a response that is cut off fails the reader', async (t) => {
  const pair = await createPeerPair(t, (call) => {
    call.respond({ status: 200, headers: [] })
    call.write(Buffer.from('part'))
    call.refuse(notRun('bad-answer', 'cut'), REPORT)
  })
  const connection = await openConnection(pair)
  const call = connection.openCall(head())
  const reply = await call.reply
  if (reply.kind !== 'head') return t.fail(reply.kind)
  await t.throwsAsync(async () => { while (await reply.body.read() !== undefined); }, { message: /was cut off/ })
  t.is((await call.finish).kind, 'aborted')
})

// Guards against work that continues on the executor node after the caller has cancelled the call.
test('a cancelled call aborts its signal on the executor side', async (t) => {
  let incoming: IncomingCall | undefined
  const pair = await createPeerPair(t, (call) => { incoming = call })
  const connection = await openConnection(pair)
  const call = connection.openCall(head())
  await until(() => incoming !== undefined)
  call.cancel()
  t.is((await call.reply).kind, 'cancelled')
  await until(() => incoming!.signal.aborted)
  await t.throwsAsync(() => incoming!.body.read())
  t.is(pair.listener.openCalls(), 0)
})

// Guards against calls that wait forever after the peer has failed and its connection has closed.
test('open calls are lost when the connection closes', async (t) => {
  const pair = await createPeerPair(t, () => {})
  const connection = await openConnection(pair)
  const call = connection.openCall(head())
  await pair.listener.close()
  t.is((await call.reply).kind, 'lost')
  t.is((await connection.openCall(head()).reply).kind, 'lost')
})

// Guards against requests that wait forever after their connection has closed.
test('a request gets its reply, and none after the connection has closed', async (t) => {
  const pair = await createPeerPair(t, () => {})
  t.deepEqual(await pair.pool.request(pair.address, 'retry', { id: 1 }, 1000), { kind: 'retry', body: { id: 1 } })
  pair.pool.close()
  await pair.listener.close()
  t.is(await pair.pool.request(pair.address, 'retry', {}, 1000), undefined)
})

// Guards against processes outside the fleet that can reach the peer port and send calls to it.
test('a peer with another fleet key is rejected with the remedy', async (t) => {
  const pair = await createPeerPair(t, () => t.fail(), 'another-key-altogether')
  const found = await pair.dial()
  t.true('isErr' in found && found.isErr())
  if ('isErr' in found && found.isErr()) t.regex(found.error.message, /auth\.fleetKey/)
})

// Guards against a crash of the node when another program sends bytes to the peer port that are not frames.
test('malformed bytes close the connection, and the listener keeps accepting', async (t) => {
  const pair = await createPeerPair(t, (call) => call.refuse(notRun('overloaded', 'x'), REPORT))
  const socket = connect(pair.address.port, '127.0.0.1')
  socket.write(Buffer.alloc(64, 0xff))
  await once(socket, 'close')
  t.regex(pair.rejected[0]!, /exceeds the limit/)
  const connection = await openConnection(pair)
  t.is((await connection.openCall(head()).reply).kind, 'refused')
})

// Guards against memory that strangers fill: without the fleet's key a peer could announce frames of megabytes on many connections.
test('before the handshake has ended, a frame of more than a few kilobytes closes the connection', async (t) => {
  const pair = await createPeerPair(t, () => t.fail())
  const socket = connect(pair.address.port, '127.0.0.1')
  const header = Buffer.alloc(9)
  header.writeUInt32BE(MAX_HANDSHAKE_FRAME_BYTES + 1, 0)
  header.writeUInt8(1, 4)
  socket.write(header)
  await once(socket, 'close')
  t.regex(pair.rejected[0]!, /exceeds the limit of 4096/)
  t.true(socket.bytesRead < MAX_HANDSHAKE_FRAME_BYTES)
})

// Guards against connections and memory that strangers hold: a connection on which a frame never ends proves nothing of its sender.
test('before the handshake has ended, a frame that never ends does not keep its connection open', async (t) => {
  const pair = await createPeerPair(t, () => t.fail())
  const socket = connect(pair.address.port, '127.0.0.1')
  socket.on('error', () => {})
  const header = Buffer.alloc(9)
  header.writeUInt32BE(MAX_HANDSHAKE_FRAME_BYTES, 0)
  header.writeUInt8(1, 4)
  socket.write(header)
  const startMs = performance.now()
  const sending = setInterval(() => socket.write('x'), 10)
  await socketClosed(socket)
  clearInterval(sending)
  t.true(performance.now() - startMs < 2 * DIAL_TIMEOUT_MS)
  t.deepEqual(pair.rejected, ['handshake timed out'])
})

/** Starts a proxy to a peer listener that can hold back all bytes of the connections that exist at that moment. */
async function startProxy (t: ExecutionContext, to: { host: string, port: number }) {
  const pairs: Array<[Socket, Socket]> = []
  let held: Array<[Socket, Socket]> = []
  const server = createServer((near) => {
    const far = connect(to.port, to.host)
    near.pipe(far).pipe(near)
    for (const socket of [near, far]) socket.on('error', () => {})
    pairs.push([near, far])
  }).listen(0, to.host)
  await once(server, 'listening')
  t.teardown(() => {
    server.close()
    for (const socket of pairs.flat()) socket.destroy()
  })
  return {
    address: { host: to.host, port: (server.address() as AddressInfo).port },
    hold: () => {
      held = [...pairs]
      for (const [near, far] of held) near.unpipe(far) && far.unpipe(near)
    },
    release: () => { for (const [near, far] of held) near.pipe(far).pipe(near) }
  }
}

// Guards against work that is given up, or started again elsewhere, because a VM was silent for a while: its process was frozen or its
// network was cut, and both ends still have the connection.
test('a call that may not run twice outlives the silence of either end', async (t) => {
  const incoming: IncomingCall[] = []
  const pair = await createPeerPair(t, (call) => incoming.push(call))
  const proxy = await startProxy(t, pair.address)
  const found = await pair.pool.get(proxy.address)
  const connection = 'openCall' in found ? found : found._unsafeUnwrap()
  const unrepeatable = connection.openCall(head(), { outlivesSilence: true })
  const repeatable = connection.openCall(head())
  await until(() => incoming.length === 2)
  proxy.hold()
  t.is((await repeatable.reply).kind, 'lost')
  t.is(connection.openCalls(), 1)
  t.true(pair.pool.get(proxy.address) instanceof Promise, 'a new call still goes to the silent peer')
  const replaced = await pair.pool.get(proxy.address)
  if (!('isErr' in replaced)) return t.fail()
  const next = replaced._unsafeUnwrap().openCall(head())
  await until(() => incoming.length === 3)
  incoming[2]!.refuse(notRun('overloaded', 'x'), REPORT)
  t.is((await next.reply).kind, 'refused')
  t.is(pair.pool.get(proxy.address), replaced._unsafeUnwrap())
  // Longer than the silence limit of the other end, too.
  await new Promise((resolve) => setTimeout(resolve, 1500))
  t.false(incoming[0]!.signal.aborted)
  proxy.release()
  incoming[0]!.respond({ status: 200, headers: [] })
  incoming[0]!.end(REPORT)
  t.like(await unrepeatable.reply, { kind: 'head' })
  t.deepEqual(await unrepeatable.finish, { kind: 'complete', report: REPORT })
  await until(() => incoming[1]!.signal.aborted)
  t.is(connection.openCalls(), 0)
  t.is(pair.pool.get(proxy.address), replaced._unsafeUnwrap())
})
