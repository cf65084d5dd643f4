import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { createCanceller, systemClock } from '@orioleslip/core'
import { socketClosed } from '@orioleslip/core/testing'
import { request } from 'undici'
import { createTargetGate } from '../admission/target-gate.js'
import { createAnnouncedLimit } from '../limits/announced-limit.js'
import { startNodePair } from '../testing/node-pair.js'

const POLL_MS = 10
/** Calls that run at a target from which no response has come, see `createAnnouncedLimit`. */
const SLOTS = 4
/** Time in which a request is answered after the recall, in ms; no wait of the product ends by itself in it. */
const RECALL_MS = 500

/** Starts two nodes and a target that holds its calls until `release` is called. */
async function startHeldPair (t: ExecutionContext) {
  const held: ServerResponse[] = []
  const server = createServer((_req, res) => { held.push(res) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const recall = createCanceller()
  const pair = await startNodePair({
    targetPort: (server.address() as AddressInfo).port,
    gate: createTargetGate({ clock: systemClock, limiter: createAnnouncedLimit() }),
    recalled: recall.signal
  })
  t.teardown(async () => {
    await pair.stop()
    server.closeAllConnections()
    server.close()
  })
  const waitFor = async (check: () => boolean) => { while (!check()) await systemClock.sleep(POLL_MS) }
  return { pair, recall: recall.abort, waitFor, atTarget: () => held.length, release: () => { for (const res of held) res.end('ok') } }
}

type HeldPair = Awaited<ReturnType<typeof startHeldPair>>

/** Sends a request, and returns its status, its outcome and when it was answered. */
async function send ({ pair }: HeldPair, method: 'GET' | 'POST', path: string, key?: string) {
  const headers = { 'orioleslip-customer': 'c', ...(key === undefined ? {} : { 'idempotency-key': key }) }
  const res = await request(`${pair.url}${path}`, { method, headers })
  await res.body.dump()
  return { status: res.statusCode, outcome: res.headers['orioleslip-outcome'], answeredMs: performance.now() }
}

// Guards against requests that wait for a slot of a target elsewhere until the node where they began ends: they are cut without an answer,
// although they reached no target (review/8).
test('a recall refuses the requests that wait for a slot, and leaves those that the target runs', async (t) => {
  const fixture = await startHeldPair(t)
  const sends = Array.from({ length: SLOTS + 3 }, () => send(fixture, 'GET', '/shop/items/1'))
  await fixture.waitFor(() => fixture.pair.inFlight() === SLOTS + 3 && fixture.atTarget() === SLOTS)
  const recalledMs = performance.now()
  fixture.recall()
  await systemClock.sleep(RECALL_MS)
  fixture.release()
  const results = await Promise.all(sends)
  t.is(fixture.atTarget(), SLOTS)
  t.is(results.filter(({ status }) => status === 200).length, SLOTS)
  const refused = results.filter(({ status }) => status === 503)
  t.deepEqual(refused.map(({ outcome, answeredMs }) => [outcome, answeredMs - recalledMs < RECALL_MS]), Array.from({ length: 3 }, () => ['not-run', true]))
})

// Guards against a request that is cut because its body had not arrived when the node stopped.
test('a recall refuses a request whose body has not arrived', async (t) => {
  const { pair, recall, atTarget } = await startHeldPair(t)
  const socket = connect(pair.callerPort, '127.0.0.1')
  let text = ''
  socket.setEncoding('utf8').on('data', (chunk: string) => { text += chunk })
  const closed = socketClosed(socket)
  socket.write('PUT /shop/sheets/1 HTTP/1.1\r\nhost: a\r\norioleslip-customer: c\r\nconnection: close\r\ncontent-length: 10\r\n\r\nabcd')
  await systemClock.sleep(POLL_MS)
  recall()
  await closed
  t.regex(text, /^HTTP\/1\.1 503 [^]*orioleslip-outcome: not-run/i)
  t.is(atTarget(), 0)
})

// Guards against requests that wait for the record of their key until the node ends. What may have run must not be refused as not run.
test('a recall ends the wait for the record of a key', async (t) => {
  const fixture = await startHeldPair(t)
  const { pair, recall } = fixture
  let asked = 0
  const hang = () => {
    asked++
    return new Promise(() => {}) as never
  }
  const sent = send(fixture, 'POST', '/shop/orders', 'key-1')
  await fixture.waitFor(() => fixture.atTarget() === 1)
  pair.register.claim = hang
  pair.register.cancel = hang
  pair.cutLink()
  const waiting = send(fixture, 'POST', '/shop/orders', 'key-2')
  await fixture.waitFor(() => asked === 2)
  const recalledMs = performance.now()
  recall()
  const results = await Promise.all([sent, waiting])
  t.deepEqual(results.map(({ status, outcome, answeredMs }) => [status, outcome, answeredMs - recalledMs < RECALL_MS]), [
    [502, 'unknown', true], [503, 'not-run', true]
  ])
})
