import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { createCanceller, systemClock } from '@orioleslip/core'
import { socketClosed } from '@orioleslip/core/testing'
import { ResultAsync } from 'neverthrow'
import { request } from 'undici'
import { createTargetGate } from '../admission/target-gate.js'
import { createAnnouncedLimit } from '../limits/announced-limit.js'
import { startNodePair } from '../testing/node-pair.js'

const POLL_MS = 10
/** Calls that run at a target from which no response has come, see `createAnnouncedLimit`. */
const SLOTS = 4
/** Time in which a request is answered after the recall, in ms; no wait of the product ends by itself in it. */
const RECALL_MS = 500
/** Time for which a node runs on after the end of its drain, in ms. */
const STOP_MS = 200
/** Time until the reply to a record arrives, in ms; the executor awaits it. */
const RECORD_MS = 800

/** Starts two nodes and a target that holds its calls until `release` is called. */
async function startHeldPair (t: ExecutionContext) {
  const held: ServerResponse[] = []
  const server = createServer((_req, res) => { held.push(res) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const recall = createCanceller()
  const drain = createCanceller()
  const pair = await startNodePair({
    targetPort: (server.address() as AddressInfo).port,
    gate: createTargetGate({ clock: systemClock, limiter: createAnnouncedLimit() }),
    recalled: recall.signal,
    drainEnded: drain.signal
  })
  t.teardown(async () => {
    await pair.stop()
    server.closeAllConnections()
    server.close()
  })
  const waitFor = async (check: () => boolean) => { while (!check()) await systemClock.sleep(POLL_MS) }
  return { pair, recall: recall.abort, endDrain: drain.abort, waitFor, atTarget: () => held.length, release: () => { for (const res of held) res.end('ok') } }
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

// Guards against requests that wait for the record of their key until the node ends. What may have run must not be refused as not run, and
// is looked up as long as its target may still record its end.
test('a recall ends the wait for a key, and the end of the drain the look-up of a lost claim', async (t) => {
  const fixture = await startHeldPair(t)
  const { pair, recall, endDrain } = fixture
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
  const refused = await waiting
  t.deepEqual([refused.status, refused.outcome, refused.answeredMs - recalledMs < RECALL_MS], [503, 'not-run', true])
  t.is(await Promise.race([sent, systemClock.sleep(RECALL_MS).then(() => 'open')]), 'open')
  const endedMs = performance.now()
  endDrain()
  const lost = await sent
  t.deepEqual([lost.status, lost.outcome, lost.answeredMs - endedMs < STOP_MS], [502, 'unknown', true])
})

// Guards against a claim that runs to its end in a planned stop, and whose caller is told that its outcome is unknown: its link was lost.
test('a claim whose link is lost after a recall is answered with the response that its executor records', async (t) => {
  const fixture = await startHeldPair(t)
  const sent = send(fixture, 'POST', '/shop/orders', 'key-1')
  await fixture.waitFor(() => fixture.atTarget() === 1)
  fixture.recall()
  fixture.pair.cutLink()
  await systemClock.sleep(POLL_MS)
  fixture.release()
  const { status, outcome } = await sent
  t.deepEqual([status, outcome], [200, 'complete'])
})

// Guards against a claim that has been recorded when the drain ends, and whose caller is told that its outcome is unknown: its response was
// still on its way.
test('a claim that has been recorded at the end of the drain is answered with its response', async (t) => {
  const fixture = await startHeldPair(t)
  const { pair, recall, endDrain } = fixture
  const { finish } = pair.register
  let recorded = false
  pair.register.finish = (...args) => {
    recorded = true
    return finish(...args).andThen(() => ResultAsync.fromSafePromise(systemClock.sleep(RECORD_MS)))
  }
  const sent = send(fixture, 'POST', '/shop/orders', 'key-1')
  await fixture.waitFor(() => fixture.atTarget() === 1)
  fixture.release()
  await fixture.waitFor(() => recorded)
  recall()
  const endedMs = performance.now()
  endDrain()
  const { status, outcome, answeredMs } = await sent
  t.deepEqual([status, outcome, answeredMs - endedMs < STOP_MS], [200, 'complete', true])
})
