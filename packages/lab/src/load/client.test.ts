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

/** Starts a stand-in node that handles each try by `behave`, and creates a client of it. */
async function setup (t: ExecutionContext, behave: Behaviour, nowMs = () => 0, attemptTimeoutMs = 4000) {
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

const sendComplete = (res: ServerResponse) => res.end(JSON.stringify({ service: 'claims', requestId: 'r', path: '/claims/4', downstream: [] }))

// Guards against a resend with a new idempotency key, which could run a claim twice, and against counting a resend as a second request.
test('a refused request is resent with the same key despite Retry-After and counts once', async (t) => {
  const { client, keys } = await setup(t, (_, res, number) => number < 3 ? res.writeHead(503, { 'retry-after': '9' }).end('{"type":"urn:orioleslip:overloaded"}') : sendComplete(res))
  const result = await client.run(arrival)
  t.true(result.good)
  t.is(result.tries, 3)
  t.is(keys.length, 3)
  t.is(new Set(keys).size, 1)
})

// Guards against clients that resend without limit while a node keeps refusing, and against results without the refusal's code.
test('resends are limited and the result has the code of the last refusal', async (t) => {
  const { client, keys } = await setup(t, (_, res) => res.writeHead(503).end('{"type":"urn:orioleslip:overloaded"}'))
  const result = await client.run(arrival)
  t.false(result.good)
  t.is(result.code, 'overloaded')
  t.is(keys.length, 3)
})

// Guards against counting a response as goodput when it leaves the node before the deadline, but reaches the client after it because of
// the delay between node and client.
test('a complete response after the deadline is late', async (t) => {
  let now = 0
  const { client } = await setup(t, (_, res) => {
    now = 4996
    sendComplete(res)
  }, () => now)
  const result = await client.run(arrival)
  t.false(result.good)
  t.is(result.code, 'late')
  t.is(result.latencyMs, 5002)
})

// Guards against a run that never ends because a node accepts a request and sends no response.
test('a try without a response times out', async (t) => {
  const { client } = await setup(t, () => {}, () => 0, 20)
  const result = await client.run(arrival)
  t.is(result.code, 'timeout')
  t.is(result.tries, 3)
})
