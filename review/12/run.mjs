// A node is stopped as planned while clients that send further idempotent requests before the first answer read answers of 30 KB slowly.
import { once } from 'node:events'
import net from 'node:net'
import { BOUNDS, call, config, nowMs, runCase, sleep, startFleet, startServer, until } from '../lib-3/fleet.mjs'

const HOST = 'sheets.example'
const CLIENTS = 20
/** Requests that a client has on its way at a time. */
const DEPTH = 6
/** Time between two requests of a client, and for which it reads nothing after each chunk, in ms: clients may read slowly. */
const SEND_MS = 10
const READ_PAUSE_MS = 50
const ANSWER = Buffer.alloc(30_000, 'sheet ')

await runCase(import.meta.url, async ({ record, isTroubled, onEnd }) => {
  const fleet = await startFleet({ record, machines: { 'side-1': 'front', 'side-2': 'sheets' } })
  onEnd(fleet.stop)
  const routes = [{ name: 'r-sheets', host: HOST, prefix: '/sheets/', kind: 'idempotent', service: 'sheets' }]
  const put = await fleet.operator('PUT', config({ version: 1, base: 0, routes, services: ['front', 'sheets'] }))
  record(`first desired state: ${put.status}`)
  const answered = new Set()
  const work = async ({ req, res, requestId }) => {
    req.resume()
    await sleep(20)
    res.writeHead(200, { 'orioleslip-request-id': requestId, 'orioleslip-server-signature': `s-${requestId}`, 'content-length': ANSWER.length })
    res.end(ANSWER, () => answered.add(requestId))
  }
  const server = await startServer({ fleet, record, machine: 'side-2', service: 'sheets', id: 'i-sheets', work })
  onEnd(server.end)
  const entry = { host: fleet.ipOf['side-1'], port: fleet.ports.outbound }
  await until('the first answer', async () =>
    (await call({ ...entry, path: '/sheets/1', headers: { host: HOST, 'orioleslip-request-id': 'warm' } })).status === 200)
  await sleep(BOUNDS.ContactMs + 500)

  let endMs = nowMs() + 4000
  /** Requests whose connection has ended without a complete answer. */
  const open = []
  let complete = 0
  let count = 0
  /** One connection; resolves when it has ended. */
  const connection = (client) => new Promise((resolve) => {
    const socket = net.connect(entry)
    /** Requests without an answer, the oldest first. */
    const waiting = []
    let buffered = Buffer.alloc(0)
    let left = 0
    let isLast = false
    const topUp = () => {
      if (!isLast && waiting.length < DEPTH && nowMs() < endMs && socket.writable) {
        const id = `get-${client}-${++count}`
        waiting.push({ id, sentMs: nowMs(), bytes: 0 })
        socket.write(`GET /sheets/${count} HTTP/1.1\r\nHost: ${HOST}\r\nOrioleslip-Request-Id: ${id}\r\nOrioleslip-Deadline-Ms: 5000\r\n\r\n`)
      }
      if (waiting.length === 0) socket.end()
    }
    const timer = setInterval(topUp, SEND_MS)
    const endAnswer = () => {
      complete++
      waiting.shift()
      if (isLast) socket.end()
    }
    const read = () => {
      for (;;) {
        if (left > 0) {
          const part = Math.min(left, buffered.length)
          if (part === 0) return
          buffered = buffered.subarray(part)
          left -= part
          waiting[0].bytes += part
          if (left === 0) endAnswer()
          continue
        }
        const end = buffered.indexOf('\r\n\r\n')
        if (end < 0) return
        const head = buffered.toString('latin1', 0, end)
        buffered = buffered.subarray(end + 4)
        left = Number(/content-length: (\d+)/i.exec(head)[1])
        isLast = /connection: close/i.test(head)
        waiting[0].head = head.split('\r\n')[0]
        if (left === 0) endAnswer()
      }
    }
    socket.on('data', (chunk) => {
      buffered = Buffer.concat([buffered, chunk])
      read()
      socket.pause()
      setTimeout(() => socket.resume(), READ_PAUSE_MS)
    })
    socket.on('error', (err) => { waiting.error = err.code })
    socket.on('close', () => {
      clearInterval(timer)
      for (const request of waiting) {
        open.push({ ...request, endedMs: nowMs() })
        record(`${request.id} has no complete answer: ${request.head ?? 'nothing'}, ${request.bytes} bytes, connection ended${waiting.error === undefined ? '' : ` (${waiting.error})`}`)
      }
      resolve()
    })
    socket.once('connect', topUp)
  })
  const client = async (n) => { while (nowMs() < endMs) await connection(n) }
  const clients = Array.from({ length: CLIENTS }, (_, n) => client(n))
  await sleep(2000)
  let stopMs
  if (isTroubled) {
    stopMs = nowMs()
    // The platform's clients get no new work at this machine after two readiness checks.
    endMs = stopMs + 2000
    const ended = once(fleet.process('side-1'), 'exit')
    fleet.signal('side-1', 'SIGTERM')
    await Promise.race([ended, sleep(BOUNDS.GraceS * 1000)])
  }
  await Promise.all(clients)
  await sleep(500)
  const ran = new Set(server.arrivals.map(({ requestId }) => requestId))
  // Not those that had used most of their time limit of 5 s.
  const lost = open.filter(({ id, sentMs, endedMs }) => ran.has(id) && endedMs - sentMs < 4000)
  const notRun = open.length - lost.length
  for (const { id, bytes } of lost) record(`${id} was passed on to the server, which ${answered.has(id) ? 'has written its whole answer' : 'was at work'}, and its connection ended after ${bytes} bytes of the answer's body`)
  return { broken: lost.length > 0, text: `${complete} requests have got their answers; ${lost.length} have been passed on to the server and have not; ${notRun} were not passed on` }
})
