// The machine where requests begin is stopped in a planned way while requests wait for a slot of a busy server.
import { answerWhole, configOf, openClient, runCase, sleep, TROUBLE, until } from '../lib-2/fleet.mjs'

const HOST = 'jepu9.example'
const TIMEOUT_MS = 6000
/** Clients on the machine that is stopped, whose route has the lower priority, and on another machine, which keep the server busy. */
const CLIENTS = 16
const OTHER_CLIENTS = 16
const SLOTS = 12
const WORK_MS = 1000
const LOSS_SLACK_MS = 200
/** Time of the load before the stop, and the whole time of the load, in ms. */
const BEFORE_MS = 8000
const LOAD_MS = 22_000

await runCase(import.meta.url, async (fleet, record) => {
  const config = configOf('00000007', '00000000', [
    [HOST, '/puka111/', 'non_idempotent', 'wuno96b', TIMEOUT_MS, 0], [HOST, '/leny950/', 'non_idempotent', 'wuno96b', TIMEOUT_MS, 2]
  ])
  const { nodes: [beside, entry, other] } = await fleet.start({ services: ['wuno96b', 'huvo11a', 'huvo11a'], config })
  const server = await fleet.startServer(beside, { concurrency: SLOTS, answer: (request) => answerWhole(request, WORK_MS, 'claimed') })
  const outboundOf = (node) => `${node.ip}:${fleet.ports.outbound}`
  const post = (path, id) => ({ method: 'POST', host: HOST, path, id, deadlineMs: TIMEOUT_MS, body: 'claim' })
  for (const node of [entry, other]) {
    await until('a first request is served', 10_000, async () => {
      const client = openClient(outboundOf(node))
      const got = await client.send(post('/puka111/a', `warm-${Math.random().toString(16).slice(2, 8)}`))
      client.close()
      return got.status === 200
    })
  }
  // In touch: nothing has happened to any machine for more than `ContactMs`.
  await sleep(3500)

  const startMs = performance.now()
  const isOver = () => performance.now() - startMs > LOAD_MS - TIMEOUT_MS
  let inService = true
  let stoppedMs
  // The platform's readiness checks, one a second: after two misses the clients of the machine get no new work.
  const check = async () => {
    for (let misses = 0; performance.now() - startMs < LOAD_MS;) {
      misses = await fleet.isReady(entry) ? 0 : misses + 1
      if (misses === 2) record('two readiness checks have failed: the clients get no new work')
      inService = misses < 2
      if (TROUBLE && stoppedMs === undefined && performance.now() - startMs > BEFORE_MS) {
        stoppedMs = performance.now()
        fleet.stop(entry)
      }
      await sleep(1000)
    }
  }
  const results = []
  /** A client that sends one request after the other on a kept connection, and waits as it is told after a refusal. */
  const runClient = async (name, node, path, mayGoOn) => {
    let client = openClient(outboundOf(node))
    for (let i = 0; mayGoOn(); i++) {
      const id = `${name}-${i}`
      const sentMs = performance.now()
      const got = await client.send(post(path, id), TIMEOUT_MS + 1000)
      const durationMs = Math.round(performance.now() - sentMs)
      const text = got.status ?? (got.timedOut ? 'no answer' : `no answer: its connection was ${got.ended}`)
      const after = stoppedMs === undefined ? '' : `, ${Math.round(sentMs - stoppedMs)} ms after SIGTERM,`
      record(`client sent ${id}${after} and got ${text} after ${durationMs} ms`)
      if (node === entry) results.push({ id, sentMs, durationMs, got })
      if (got.status === 503) await sleep(1000 * Math.min(TIMEOUT_MS / 3000, Number(/^retry-after: *([\d.]+)/im.exec(got.head)?.[1] ?? 0)))
      if (!client.isOpen() || /^connection: *close/im.test(got.head ?? '')) {
        client.close()
        client = openClient(outboundOf(node))
      }
    }
    client.close()
  }
  const startClients = (count, name, node, path, mayGoOn) => Array.from({ length: count }, async (_, number) => {
    await sleep(number * 60)
    await runClient(`${name}${number}`, node, path, mayGoOn)
  })
  await Promise.all([
    check(),
    ...startClients(OTHER_CLIENTS, 'urgent', other, '/puka111/a', () => !isOver()),
    ...startClients(CLIENTS, 'c', entry, '/leny950/a', () => inService && !isOver())
  ])
  const ran = new Set(server.ran)
  // LOST: around a SIGTERM a request was read as a whole, and its connection ended without an answer later than `LossSlackMs` after it was
  // sent. Left out are requests whose time was over, and those that a server has run, at which it may have been at work.
  const lost = results.filter(({ id, durationMs, got }) => got.status === undefined && got.ended !== undefined &&
    got.ended !== 'not connected' && durationMs > LOSS_SLACK_MS && durationMs < TIMEOUT_MS && !ran.has(id))
  for (const { id, sentMs, durationMs, got } of lost) {
    record(`lost: ${id}, sent ${Math.round(sentMs - stoppedMs)} ms after SIGTERM; ${durationMs} ms later its connection was ${got.ended}; it reached no server`)
  }
  return lost.length === 0
})
