import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as wait } from 'node:timers/promises'
import { systemClock } from '@orioleslip/core'
import { createTargetGate } from '../admission/target-gate.js'
import { noCrashGuard } from '../crashes/no-crash-guard.js'
import { listenForPeers } from '../links/listener.js'
import type { CallHead } from '../links/messages.js'
import { createPeerPool } from '../links/pool.js'
import { createLocalTarget } from '../target/local-target.js'
import { startNodePair } from '../testing/node-pair.js'
import { createExecutor } from './executor.js'
import { createInboundCalls } from './inbound-calls.js'

const HOST = '127.0.0.1'
const KEY = 'a-fleet-key-for-tests'
/** Time in which the process does not run, in ms. */
const GAP_MS = 700
/** Time in which a request that is sent to the target would have arrived there, in ms. */
const SETTLE_MS = 300

/** Keeps this process from running, as a lack of processor time does: what arrives meanwhile stays unread. */
function standStill (): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, GAP_MS)
}

/** Starts a target that answers each request, and returns its port and the paths that it has received. */
async function startTarget (t: ExecutionContext) {
  const paths: string[] = []
  const server = createServer((req, res) => {
    paths.push(req.url ?? '')
    res.end('ok')
  })
  server.listen(0, HOST)
  await once(server, 'listening')
  t.teardown(() => server.close())
  return { port: (server.address() as AddressInfo).port, paths }
}

/** Opens a connection to the pair, and sends one request on it, so that the node has accepted it and its route to the target is warm. */
async function openCaller (port: number): Promise<Socket> {
  const socket = connect({ host: HOST, port, noDelay: true })
  await once(socket, 'connect')
  socket.write('GET /shop/items/warm HTTP/1.1\r\nhost: a\r\norioleslip-customer: c\r\n\r\n')
  await once(socket, 'data')
  return socket
}

// Guards against work for callers that have left: the node reads a request after a gap and passes it on before it reads, in the next turn
// of the event loop, that the caller has closed the connection behind it.
test('a request whose caller left before the node could read it is not sent to the target', async (t) => {
  const { port, paths } = await startTarget(t)
  const pair = await startNodePair({ targetPort: port })
  t.teardown(pair.stop)
  const callers = await Promise.all(Array.from({ length: 20 }, () => openCaller(pair.callerPort)))
  paths.length = 0
  const left = callers.map((socket, i) => new Promise<void>((resolve) => {
    socket.write(`GET /shop/items/${i} HTTP/1.1\r\nhost: a\r\norioleslip-customer: c\r\n\r\n`)
    socket.end(resolve)
  }))
  await Promise.all(left)
  standStill()
  await wait(SETTLE_MS)
  t.deepEqual(paths, [])
})

/** Starts an executor behind a peer listener, and a pool that has a connection to it on which a call has been answered. */
async function startExecutorLink (t: ExecutionContext) {
  const { port, paths } = await startTarget(t)
  const gate = createTargetGate({ clock: systemClock })
  const target = createLocalTarget(HOST)
  target.onStarted(gate.targetStarted)
  target.announce({ service: 'shop', port, capacity: 200, state: 'ready', instance: 'i' })
  const executor = createExecutor({
    target,
    gate,
    inbound: createInboundCalls(systemClock.nowMs),
    guard: { begin: () => Promise.reject(new Error('no call of this test has a key')) },
    crashes: noCrashGuard,
    clock: systemClock,
    callRefusal: () => undefined
  })
  const listener = await listenForPeers({
    address: { host: HOST, port: 0 },
    identity: { fleetKey: KEY, vmId: 'b' },
    handlers: { onCall: executor.execute, onRequest: () => undefined },
    onRejected: () => {}
  })
  const pool = createPeerPool({ fleetKey: KEY, vmId: 'a' }, () => undefined)
  t.teardown(async () => {
    pool.close()
    await listener.close()
  })
  const found = await pool.get({ host: HOST, port: listener.port })
  const connection = 'openCall' in found ? found : found._unsafeUnwrap()
  t.is((await connection.openCall(head('/warm')).reply).kind, 'head')
  paths.length = 0
  return { connection, paths }
}

function head (path: string, remainingMs = 5000): CallHead {
  return {
    root: {
      requestId: path, traceId: 't', customer: '', entryOpKey: 'op', priority: 9, ledger: { host: HOST, port: 1 }, region: 'r1'
    },
    service: 'shop',
    method: 'GET',
    path,
    headers: [],
    opKey: 'op',
    remainingMs,
    traceFlags: '00',
    deferBody: false,
    bodyBytes: 0
  }
}

// Guards against a deadline that does not count the time in which the head of a call waited in a queue, on the link or in a socket.
test('a call whose deadline passed before its head was read is refused as not run', async (t) => {
  const { connection, paths } = await startExecutorLink(t)
  const call = connection.openCall(head('/late', GAP_MS - 200))
  // The frames of a turn are written at its end.
  await nextTurn()
  standStill()
  const reply = await call.reply
  t.is(reply.kind, 'refused')
  if (reply.kind === 'refused') t.like(reply.refusal, { code: 'deadline-exceeded', outcome: 'not-run' })
  t.deepEqual(paths, [])
})

// Guards against work for callers that have left: after a gap the heads that fill one read are passed on before their cancels are read.
test('calls that were cancelled before the executor could read them are not sent to the target', async (t) => {
  const { connection, paths } = await startExecutorLink(t)
  const calls = Array.from({ length: 100 }, (_, i) => connection.openCall(head(`/${i}/${'x'.repeat(1500)}`)))
  await nextTurn()
  for (const call of calls) call.cancel()
  await nextTurn()
  standStill()
  await wait(SETTLE_MS)
  t.deepEqual(paths.map((path) => path.slice(0, 5)), [])
})
