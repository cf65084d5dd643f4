import test from 'ava'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as wait } from 'node:timers/promises'
import { shopHead, standStill, startCountingTarget, startExecutorLink } from '../testing/executor-link.js'
import { startNodePair } from '../testing/node-pair.js'

const HOST = '127.0.0.1'
/** Time in which a request that is sent to the target would have arrived there, in ms. */
const SETTLE_MS = 300

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
test('calls that were cancelled before the executor could read them are not sent to the target', async (t) => {
  const { connection, paths } = await startExecutorLink(t)
  const calls = Array.from({ length: 100 }, (_, i) => connection.openCall(shopHead(`/${i}/${'x'.repeat(1500)}`)))
  await nextTurn()
  for (const call of calls) call.cancel()
  await nextTurn()
  standStill()
  await wait(SETTLE_MS)
  t.deepEqual(paths.map((path) => path.slice(0, 5)), [])
})
