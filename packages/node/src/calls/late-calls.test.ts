import test from 'ava'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as wait } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import type { IncomingCall } from '../links/incoming-call.js'
import { GAP_MS, openLink, shopHead, standStill, startCountingTarget, startExecutorLink } from '../testing/executor-link.js'
import type { LeavingCallers } from '../testing/leaving-callers.js'
import { startNodePair } from '../testing/node-pair.js'

const HOST = '127.0.0.1'
/** Time in which a request that is sent to the target would have arrived there, in ms. */
const SETTLE_MS = 300

// The tests run one after the other: several keep this process from running, and a call of a neighbour would lose that time.

// Guards against a deadline that does not count the time in which the head of a call waited in a queue, on the link or in a socket.
test.serial('a call whose deadline passed before its head was read is refused as not run', async (t) => {
  const { connection, paths } = await startExecutorLink(t)
  const call = connection.openCall(shopHead('/late', GAP_MS - 200))
  // The frames of a turn are written at its end.
  await nextTurn()
  standStill()
  const reply = await call.reply
  t.is(reply.kind, 'refused')
  if (reply.kind === 'refused') t.like(reply.refusal, { code: 'deadline-exceeded', outcome: 'not-run' })
  t.deepEqual(paths, [])
})

// Guards against calls that are refused for a wait on their way though their callers still wait.
test.serial('a call that waited on its way, but not past its deadline, is sent to the target', async (t) => {
  const { connection, paths } = await startExecutorLink(t)
  const call = connection.openCall(shopHead('/in-time', GAP_MS + 2000))
  await nextTurn()
  standStill()
  t.is((await call.reply).kind, 'head')
  t.deepEqual(paths, ['/in-time'])
})

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
test.serial('a request whose caller left before the node could read it is not sent to the target', async (t) => {
  const { port, paths } = await startCountingTarget(t)
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

// Guards against work for callers that have left: after a gap the heads that fill one read are passed on before their cancels are read.
test.serial('calls that were cancelled before the executor could read them are not sent to the target', async (t) => {
  const { connection, paths } = await startExecutorLink(t)
  const calls = Array.from({ length: 100 }, (_, i) => connection.openCall(shopHead(`/${i}/${'x'.repeat(1500)}`)))
  for (const call of calls) call.cancel()
  // The frames of a turn are written at its end.
  await nextTurn()
  standStill()
  await wait(SETTLE_MS)
  t.deepEqual(paths.map((path) => path.slice(0, 5)), [])
})

// Guards against work for callers that have left: what a connection brings that waited to be accepted is as old as that wait.
test.serial('a request whose caller connected and left before the node could accept it is not sent to the target', async (t) => {
  const { port, paths } = await startCountingTarget(t)
  const pair = await startNodePair({ targetPort: port })
  t.teardown(pair.stop)
  ;(await openCaller(pair.callerPort)).destroy()
  const workerData: LeavingCallers = {
    host: HOST, port: pair.callerPort, count: 50, flag: new Int32Array(new SharedArrayBuffer(4))
  }
  const callers = new Worker(new URL('../testing/leaving-callers.js', import.meta.url), { workerData })
  t.teardown(() => callers.terminate())
  await once(callers, 'online')
  paths.length = 0
  callers.postMessage('leave')
  Atomics.wait(workerData.flag, 0, 0)
  standStill()
  await wait(SETTLE_MS)
  t.deepEqual(paths, [])
})

// Guards against a call that is sent although its cancel is on its way behind a head that came late.
test.serial('a call that came late is cancelled once the messages behind its head have been read', async (t) => {
  const calls: IncomingCall[] = []
  const { connection } = await openLink(t, (call) => { calls.push(call) })
  const call = connection.openCall(shopHead('/late'))
  await nextTurn()
  standStill()
  call.cancel()
  while (calls.length === 0) await nextTurn()
  const caughtUp = calls[0]!.linkCaughtUp()
  t.truthy(caughtUp)
  await caughtUp
  t.true(calls[0]!.signal.aborted)
})
