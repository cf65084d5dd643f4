import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { Agent } from 'undici'
import { createClient } from './client.js'
import type { LoadOperation } from './operations.js'

const claim: LoadOperation = {
  name: 'claim',
  service: 'claims',
  method: 'POST',
  path: '/claims',
  importance: 'claim',
  repeatable: false,
  share: 1,
  deadlineMs: 5000,
  bodyBytes: 10,
  chain: { service: 'claims', downstream: [] }
}
const arrival = { id: 4, atMs: 0, phase: 0, operation: 0, customer: 0, entry: 0 }

type Behaviour = (req: IncomingMessage, res: ServerResponse, number: number) => void

/** A stand-in node that answers each try as `behave` says, and a client of it. */
async function setUp (t: ExecutionContext, behave: Behaviour, nowMs = () => 0, attemptTimeoutMs = 4000) {
  const keys: string[] = []
  const server = createServer((req, res) => {
    keys.push(String(req.headers['idempotency-key']))
    req.resume().on('end', () => behave(req, res, keys.length))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const agent = new Agent()
  t.teardown(async () => {
    await agent.destroy()
    server.closeAllConnections()
    server.close()
  })
  const client = createClient({
    operations: [claim],
    customers: ['branch-1'],
    entries: [`http://127.0.0.1:${(server.address() as AddressInfo).port}`],
    behaviour: { resendDelaysMs: [1, 1], attemptTimeoutMs, delayMs: 3 },
    runId: 'test',
    agent,
    nowMs
  })
  return { client, keys }
}

const whole = (res: ServerResponse) => res.end(JSON.stringify({ service: 'claims', requestId: 'r', path: '/claims/4', downstream: [] }))

// Guards against a resend under a new key, which could run a claim twice, and against counting it as a second request.
test('a refused request is resent with the same key despite Retry-After and counts once', async (t) => {
  const { client, keys } = await setUp(t, (_, res, number) => number < 3 ? res.writeHead(503, { 'retry-after': '9' }).end('{"type":"urn:orioleslip:overloaded"}') : whole(res))
  const result = await client.run(arrival)
  t.true(result.good)
  t.is(result.tries, 3)
  t.is(keys.length, 3)
  t.is(new Set(keys).size, 1)
})

// Guards against clients that resend without end, and against losing the reason of a refusal.
test('the resends end and the last refusal is the code', async (t) => {
  const { client, keys } = await setUp(t, (_, res) => res.writeHead(503).end('{"type":"urn:orioleslip:overloaded"}'))
  const result = await client.run(arrival)
  t.false(result.good)
  t.is(result.code, 'overloaded')
  t.is(keys.length, 3)
})

// Guards against counting an answer as goodput that came after the deadline, delays to the client included.
test('a whole answer after the deadline is late', async (t) => {
  let now = 0
  const { client } = await setUp(t, (_, res) => {
    now = 4996
    whole(res)
  }, () => now)
  const result = await client.run(arrival)
  t.false(result.good)
  t.is(result.code, 'late')
  t.is(result.latencyMs, 5002)
})

// Guards against a node that never answers holding up the run.
test('a try without an answer times out', async (t) => {
  const { client } = await setUp(t, () => {}, () => 0, 20)
  const result = await client.run(arrival)
  t.is(result.code, 'timeout')
  t.is(result.tries, 3)
})
