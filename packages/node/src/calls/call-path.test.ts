import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, createServer as createTcpServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { TargetGate } from '@orioleslip/core'
import { request } from 'undici'
import { REFUSED_PORT, startNodePair, type NodePair, type PairOptions } from '../testing/node-pair.js'

const CUSTOMER = { 'orioleslip-customer': 'c' }
let keys = 0
const orderHeaders = (key = `key-${++keys}`) => ({ ...CUSTOMER, 'idempotency-key': key })

type Handler = (req: IncomingMessage, res: ServerResponse) => void

async function pairWith (t: ExecutionContext, server: Server, options: Partial<PairOptions> = {}): Promise<NodePair> {
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const pair = await startNodePair({ targetPort: (server.address() as AddressInfo).port, ...options })
  t.teardown(async () => {
    await pair.stop()
    server.close()
  })
  return pair
}

const httpTarget = (t: ExecutionContext, handler: Handler, options?: Partial<PairOptions>) => pairWith(t, createServer(handler), options)
const tcpTarget = (t: ExecutionContext, onData: (socket: Socket, text: string) => void, options?: Partial<PairOptions>) =>
  pairWith(t, createTcpServer((socket) => {
    let text = ''
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      text += chunk.toString()
      onData(socket, text)
    })
  }), options)

/** A target that closes the connection after it has received the head of a request. */
const crashingTarget = (t: ExecutionContext, onRequest: () => void) => tcpTarget(t, (socket, text) => {
  if (!text.includes('\r\n\r\n')) return
  onRequest()
  socket.destroy()
}, { retryAllowance: 2 })

async function call (pair: NodePair, method: 'GET' | 'POST' | 'PUT', path: string, headers: Record<string, string> = CUSTOMER, body?: string) {
  const res = await request(`${pair.url}${path}`, { method, headers, ...(body === undefined ? {} : { body }) })
  const text = await res.body.text()
  return { status: res.statusCode, outcome: res.headers['orioleslip-outcome'], text, headers: res.headers }
}

const problemOf = (res: { text: string }) => JSON.parse(res.text) as { type: string, outcome: string, remedy: string, requestId: string }

// Guards against a node that changes a call or response in transit: repeated headers that are merged, or a path and query that are decoded.
test('a response is returned with its status, headers and body', async (t) => {
  const pair = await httpTarget(t, (req, res) => {
    res.writeHead(207, ['x-a', '1', 'set-cookie', 'a=1', 'set-cookie', 'b=2'])
    res.end(`${req.method} ${req.url} ${req.headers['x-b']} ${req.headers.traceparent?.length}`)
  })
  const res = await call(pair, 'GET', '/shop/items/7?x=%20y', { ...CUSTOMER, 'x-b': 'q' })
  t.is(res.status, 207)
  t.is(res.text, 'GET /items/7?x=%20y q 55')
  t.deepEqual(res.headers['set-cookie'], ['a=1', 'b=2'])
  t.is(res.outcome, 'complete')
})

// Guards against responses that are delivered to the wrong caller when they arrive in another order than their requests.
// Eight concurrent callers fit the limit and queue of a target during its cold start; more would be shed.
test('responses that complete out of order reach their own callers', async (t) => {
  const pair = await httpTarget(t, (req, res) => { setTimeout(() => res.end(req.url), Number(req.url!.split('/')[2]) % 7 * 5) })
  const caller = async (first: number) => {
    for (let i = first; i < 80; i += 8) t.is((await call(pair, 'GET', `/shop/items/${i}`)).text, `/items/${i}`)
  }
  await Promise.all(Array.from({ length: 8 }, (_, first) => caller(first)))
})

// Guards against uploads that are buffered whole in the node's memory, or that lose bytes when the stream is paused and resumed.
test('a large upload arrives complete', async (t) => {
  const pair = await httpTarget(t, (req, res) => {
    let bytes = 0
    req.on('data', (chunk: Buffer) => { bytes += chunk.length })
    req.on('end', () => res.end(String(bytes)))
  })
  const size = 20 * 1024 * 1024
  const res = await request(`${pair.url}/shop/sheets/1`, { method: 'PUT', headers: CUSTOMER, body: Buffer.alloc(size, 'x') })
  t.is(await res.body.text(), String(size))
})

// Guards against malformed requests that crash the node or reach the target, such as a path whose dot segments lead to another operation.
test('malformed requests are refused with their status and code, and the node keeps serving', async (t) => {
  const pair = await httpTarget(t, (_req, res) => res.end('ok'))
  const refusals: Array<[string, Record<string, string>, number, string]> = [
    ['/', CUSTOMER, 400, 'bad-request'],
    ['/shop/../items/1', CUSTOMER, 400, 'bad-request'],
    ['/shop/%2e%2E/items/1', CUSTOMER, 400, 'bad-request'],
    ['/shop/items/1', {}, 400, 'customer-missing'],
    ['/shop/items/1', { 'orioleslip-customer': 'nobody' }, 403, 'customer-unknown'],
    ['/shop/items/1', { ...CUSTOMER, 'orioleslip-timeout-ms': 'soon' }, 400, 'bad-request']
  ]
  for (const [path, headers, status, code] of refusals) {
    // Raw sockets, since HTTP clients normalise dot segments.
    const socket = connect(pair.callerPort, '127.0.0.1')
    const lines = [`GET ${path} HTTP/1.1`, 'host: x', 'connection: close', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)]
    socket.write(`${lines.join('\r\n')}\r\n\r\n`)
    let text = ''
    socket.on('data', (chunk) => { text += chunk.toString() })
    await once(socket, 'close')
    t.regex(text, new RegExp(`^HTTP/1.1 ${status} `), path)
    t.regex(text, new RegExp(`urn:orioleslip:${code}"`), path)
    t.regex(text, /orioleslip-outcome: not-run/)
  }
  t.is((await call(pair, 'POST', '/shop/unlisted')).status, 403)
  t.is((await call(pair, 'POST', '/shop/orders')).status, 400)
  t.is((await call(pair, 'GET', '/shop/items/1')).text, 'ok')
})

// Guards against decision records that show priority 0 for every request refused at its entry node, because they lack the request context.
test('the record of a rate-limited request has its priority and operation', async (t) => {
  const pair = await httpTarget(t, (_req, res) => res.end('ok'), { quota: { kind: 'exceeded', retryAfterS: 2 } })
  const res = await call(pair, 'POST', '/shop/orders', orderHeaders(), '{}')
  t.deepEqual([res.status, res.headers['retry-after']], [429, '2'])
  const [record] = pair.records.find(problemOf(res).requestId)
  t.is(record?.opKey, 'POST shop /orders')
  t.true(record!.priority >= 128 && record!.priority < 192)
})

// Guards against an unknown outcome for a call that was never sent, which would keep its caller from resending it.
test('a call whose connection the target refuses is reported as not run', async (t) => {
  const pair = await startNodePair({ targetPort: REFUSED_PORT })
  t.teardown(pair.stop)
  const res = await call(pair, 'POST', '/shop/orders', orderHeaders(), '{}')
  t.is(res.status, 502)
  t.is(res.outcome, 'not-run')
  t.regex(problemOf(res).remedy, /safe calls/)
})

// Guards against a key that stays claimed although its call never reached the target, so that resends with the key are refused.
test('the key of a call that was not sent to the target can be used again', async (t) => {
  const pair = await startNodePair({ targetPort: REFUSED_PORT })
  t.teardown(pair.stop)
  const headers = orderHeaders()
  t.is((await call(pair, 'POST', '/shop/orders', headers, '{}')).outcome, 'not-run')
  const server = createServer((_req, res) => res.end('ran')).listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => server.close())
  pair.announceTarget((server.address() as AddressInfo).port)
  t.is((await call(pair, 'POST', '/shop/orders', headers, '{}')).text, 'ran')
})

// Guards against a request that is held until its caller leaves, because its body does not arrive within its time.
test('a request whose body does not arrive is refused at its deadline', async (t) => {
  const pair = await httpTarget(t, (_req, res) => res.end('ran'))
  const { hostname, port } = new URL(pair.url)
  const socket = connect(Number(port), hostname)
  t.teardown(() => socket.destroy())
  const lines = ['POST /shop/orders HTTP/1.1', `host: ${hostname}`, 'orioleslip-customer: c', 'idempotency-key: half', 'orioleslip-timeout-ms: 300', 'content-length: 10']
  socket.write(`${lines.join('\r\n')}\r\n\r\n12345`)
  const [chunk] = await once(socket, 'data', { signal: AbortSignal.timeout(3000) }) as [Buffer]
  t.regex(chunk.toString(), /^HTTP\/1\.1 504 [^]*orioleslip-outcome: not-run/)
})

// Guards against a second run of an order whose target crashed after receiving it: the target may have executed it before the crash.
test('an order whose target crashes after the dispatch has an unknown outcome and never runs again', async (t) => {
  let runs = 0
  const pair = await crashingTarget(t, () => { runs++ })
  const headers = orderHeaders()
  const first = await call(pair, 'POST', '/shop/orders', headers, '{}')
  t.deepEqual([first.status, first.outcome], [502, 'unknown'])
  const resent = await call(pair, 'POST', '/shop/orders', headers, '{}')
  t.deepEqual([resent.status, resent.outcome], [409, 'unknown'])
  t.is(runs, 1)
})

// Guards against retries beyond the allowance when the target crashes on every attempt.
test('a repeatable read is retried only within the allowance', async (t) => {
  let runs = 0
  const pair = await crashingTarget(t, () => { runs++ })
  const res = await call(pair, 'GET', '/shop/items/1')
  t.deepEqual([res.status, res.outcome], [502, 'unknown'])
  t.is(runs, 3)
})

const CUT_FRAMINGS = ['content-length: 100\r\n\r\nhalf', 'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n']

/** Starts a target that writes the head and a part of the body, and closes its connection after `cutMs`. */
const cuttingTarget = (t: ExecutionContext, framing: string, cutMs: number) => tcpTarget(t, (socket, text) => {
  if (!text.includes('\r\n\r\n')) return
  socket.write(`HTTP/1.1 200 OK\r\n${framing}`)
  setTimeout(() => socket.destroy(), cutMs)
})

// Guards against a caller that takes a partial response for complete, when the target closes its connection in the middle of the body.
test('a response that is cut off breaks the caller\'s connection once a part of it was forwarded', async (t) => {
  for (const framing of [CUT_FRAMINGS[0]!.replace('100', '1000000'), CUT_FRAMINGS[1]!]) {
    const pair = await cuttingTarget(t, framing, 300)
    await t.throwsAsync(call(pair, 'GET', '/shop/items/1'))
  }
})

// Guards against the same, and against a connection that is broken although nothing of the response has been forwarded.
test('a small response that is cut off is refused with an unknown outcome', async (t) => {
  for (const framing of CUT_FRAMINGS) {
    const pair = await cuttingTarget(t, framing, 20)
    const res = await call(pair, 'GET', '/shop/items/1')
    t.deepEqual([res.status, res.outcome], [502, 'unknown'])
  }
})

// Guards against a partial response that passes for complete: without Content-Length or chunked encoding, a target that closes its
// connection early looks as if its response had ended.
test('a response without framing is refused', async (t) => {
  const pair = await tcpTarget(t, (socket, text) => {
    if (text.includes('\r\n\r\n')) socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it?')
  })
  const res = await call(pair, 'GET', '/shop/items/1')
  t.deepEqual([res.status, res.outcome], [502, 'unknown'])
})

// Guards against work that continues at the target after its caller has disconnected.
test('a caller that disconnects cancels a read at the target', async (t) => {
  let closed: Promise<unknown> | undefined
  const pair = await httpTarget(t, (req) => { closed = once(req.socket, 'close') })
  const socket = connect(pair.callerPort, '127.0.0.1')
  socket.write('GET /shop/items/1 HTTP/1.1\r\nhost: x\r\norioleslip-customer: c\r\n\r\n')
  await until(() => closed !== undefined)
  socket.destroy()
  await closed
  await until(() => pair.inFlight() === 0)
  t.pass()
})

// Guards against an order that is cancelled when its caller disconnects: its outcome would be unknown, and a resend could get no response.
test('an order continues after its caller has disconnected, and the resend gets its response', async (t) => {
  let runs = 0
  const pair = await httpTarget(t, (_req, res) => {
    runs++
    setTimeout(() => res.end('done'), 100)
  })
  const socket = connect(pair.callerPort, '127.0.0.1')
  socket.write('POST /shop/orders HTTP/1.1\r\nhost: x\r\norioleslip-customer: c\r\nidempotency-key: gone\r\ncontent-length: 2\r\n\r\n{}')
  await until(() => runs === 1)
  socket.destroy()
  await until(() => pair.inFlight() === 0)
  const res = await call(pair, 'POST', '/shop/orders', orderHeaders('gone'), '{}')
  t.deepEqual([res.status, res.text, runs], [200, 'done', 1])
})

// Guards against a call that continues at the target after its deadline, or that is reported as not run although the target received it.
// The timeout of 1 s leaves a loaded machine enough time to send the call to the target.
test('a call that reaches its deadline at the target is cancelled with an unknown outcome', async (t) => {
  let closed = false
  const pair = await httpTarget(t, (req) => { req.socket.on('close', () => { closed = true }) })
  const res = await call(pair, 'GET', '/shop/items/1', { ...CUSTOMER, 'orioleslip-timeout-ms': '1000' })
  t.deepEqual([res.status, res.outcome], [504, 'unknown'])
  await until(() => closed)
})

// Guards against a second run when a caller resends a completed call, and against returning its response for a call with another body.
test('a resend with the same key gets the recorded response, and a changed body is a conflict', async (t) => {
  let runs = 0
  const pair = await httpTarget(t, (_req, res) => res.writeHead(201, { 'x-run': ++runs }).end(`order ${runs}`))
  const headers = orderHeaders()
  const first = await call(pair, 'POST', '/shop/orders', headers, 'a')
  const again = await call(pair, 'POST', '/shop/orders', headers, 'a')
  t.deepEqual([again.status, again.text, again.headers['x-run']], [201, first.text, '1'])
  t.is((await call(pair, 'POST', '/shop/orders', headers, 'b')).status, 422)
  t.is(runs, 1)
})

// Guards against overloading the key register with claims for orders that the target's admission control refuses afterwards.
test('an order below the admission level is refused before its key is claimed', async (t) => {
  const load = () => ({ level: 192, inFlight: 10, queued: 9, limit: 10 })
  const gate: TargetGate = {
    load,
    tick: () => {},
    underPressure: () => true,
    onPressure: () => {},
    targetStarted: () => {},
    setRateLimit: () => {},
    enter: async () => { throw new Error('the gate was entered') }
  }
  const pair = await httpTarget(t, (_req, res) => res.end('ran'), { gate })
  const claimed: string[] = []
  const { claim } = pair.register
  pair.register.claim = (input) => {
    claimed.push(input.key)
    return claim(input)
  }
  const res = await call(pair, 'POST', '/shop/orders', orderHeaders(), '{}')
  t.deepEqual([res.status, res.outcome, claimed.length], [503, 'not-run', 0])
})

// Guards against an order that is reported as not run when its peer link closes, while the executor is still running it.
test('an order whose peer link closes gets the response that its executor records', async (t) => {
  let runs = 0
  const pair = await httpTarget(t, (_req, res) => {
    runs++
    setTimeout(() => res.end('done'), 200)
  })
  const pending = call(pair, 'POST', '/shop/orders', orderHeaders(), '{}')
  await until(() => runs === 1)
  pair.cutLink()
  const res = await pending
  t.deepEqual([res.status, res.text, runs], [200, 'done', 1])
})

// Guards against a target that takes a partial upload for complete, when the caller disconnects in the middle of the body.
test('an upload aborted by its caller never looks complete to the target', async (t) => {
  let ended = false
  let aborted = false
  const pair = await httpTarget(t, (req) => {
    req.on('end', () => { ended = true })
    req.on('close', () => { aborted = !req.complete })
    req.resume()
  })
  const socket = connect(pair.callerPort, '127.0.0.1')
  socket.write('PUT /shop/sheets/1 HTTP/1.1\r\nhost: x\r\norioleslip-customer: c\r\ncontent-length: 1000000\r\n\r\n')
  socket.write(Buffer.alloc(200_000))
  await until(() => pair.inFlight() === 1)
  setTimeout(() => socket.destroy(), 50)
  await until(() => aborted)
  t.false(ended)
})

async function until (check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 5))
}
