// A server leaves soon after the node beside it has been restarted; a ping that it sent before arrives late, and the node takes it into
// service again.
import { answerWhole, configOf, openClient, runCase, sleep, TROUBLE, until } from '../lib-2/fleet.mjs'

const HOST = 'jepu9.example'
const PATH = '/puka111/a'
const TIMEOUT_MS = 6000
const WORK_MS = 1000
const DRAIN_MS = 2500
const CONTACT_MS = 3000
/** Time from the start of the node's process until the server sends the ping that arrives late, and how late it arrives, in ms. */
const PING_AFTER_MS = 700
const PING_LATE_MS = 3500
/** Time from that ping until the server says that it leaves, and from then until it exits, in ms. */
const LEAVE_AFTER_MS = 300
const EXIT_AFTER_MS = DRAIN_MS + 3500
const CLIENTS = 8

await runCase(import.meta.url, async (fleet, record) => {
  const config = configOf('00000007', '00000000', [[HOST, '/puka111/', 'non_idempotent', 'wuno96b', TIMEOUT_MS, 0]])
  const { nodes: [besideLeaving, besideOther, entry] } = await fleet.start({ services: ['wuno96b', 'wuno96b', 'huvo11a'], config })
  const startedMs = performance.now()
  let restartedMs = startedMs
  /** When the leave was acknowledged, and whether the clients are to end. */
  const state = { ackedMs: undefined, isOver: false }
  /** Requests that reach the server that leaves later than `DrainMs` after the ack, sent on by a machine in touch. */
  const late = []
  const leaving = await fleet.startServer(besideLeaving, {
    concurrency: 32,
    answer: (request) => {
      const nowMs = performance.now()
      if (state.ackedMs !== undefined && nowMs - state.ackedMs > DRAIN_MS && nowMs - restartedMs > CONTACT_MS) {
        late.push(request.id)
        record(`${request.id} has reached the server that leaves ${Math.round(nowMs - state.ackedMs)} ms after the ack`)
      }
      return answerWhole(request, WORK_MS, 'claimed')
    }
  })
  await fleet.startServer(besideOther, { concurrency: 32, answer: (request) => answerWhole(request, WORK_MS, 'claimed') })
  const results = []
  const runClient = async (name) => {
    let client = openClient(`${entry.ip}:${fleet.ports.outbound}`)
    for (let i = 0; !state.isOver; i++) {
      const id = `${name}-${i}`
      const got = await client.send({ method: 'POST', host: HOST, path: PATH, id, deadlineMs: TIMEOUT_MS, body: 'claim' }, TIMEOUT_MS + 1000)
      results.push({ id, status: got.status })
      if (got.status !== 200) record(`client sent ${id} and got ${got.status ?? JSON.stringify(got)}`)
      if (got.status === 503) await sleep(1000)
      if (!client.isOpen() || /^connection: *close/im.test(got.head ?? '')) {
        client.close()
        client = openClient(`${entry.ip}:${fleet.ports.outbound}`)
      }
    }
    client.close()
  }
  const clients = Array.from({ length: CLIENTS }, async (_, i) => {
    await sleep(i * 100)
    await runClient(`c${i}`)
  })
  await until('both servers get requests', 10_000, async () => leaving.ran.length > 3)
  // In touch: nothing has happened to any machine for more than `ContactMs`.
  await sleep(Math.max(0, 6000 - (performance.now() - startedMs)))

  if (TROUBLE) {
    fleet.stop(besideLeaving)
    await until('the process has ended', 8000, async () => besideLeaving.exited !== undefined)
    record(`${besideLeaving.name}: its process has ended (${besideLeaving.exited})`)
    // Pings to the port that nobody listens at fail.
    leaving.stopPings()
    await sleep(500)
    fleet.startProcess(besideLeaving)
    restartedMs = performance.now()
  } else {
    leaving.stopPings()
  }
  await sleep(PING_AFTER_MS)
  const ping = leaving.nextPing()
  record(`the server ${leaving.id} sends a ping (ready, Sequence ${ping.Status.Sequence})`)
  if (!TROUBLE) record(`it is answered with ${await leaving.sendPing(ping)}`)
  const sentMs = performance.now()
  await sleep(LEAVE_AFTER_MS)
  let status = 0
  await until('the node answers', 3000, async () => {
    status = await leaving.withdraw()
    return status !== 0
  })
  record(`DELETE of ${leaving.id}: ${status}`)
  if (status < 200 || status > 299) throw new Error('the node did not acknowledge that the server leaves')
  state.ackedMs = performance.now()
  if (TROUBLE) {
    await sleep(PING_LATE_MS - (performance.now() - sentMs))
    record(`the ping with Sequence ${ping.Status.Sequence} arrives, ${Math.round(performance.now() - state.ackedMs)} ms after the ack, and is answered with ${await leaving.sendPing(ping)}`)
  }
  await sleep(EXIT_AFTER_MS - (performance.now() - state.ackedMs))
  leaving.end()
  record(`the server ${leaving.id} exits`)
  await sleep(1500)
  state.isOver = true
  await Promise.all(clients)
  record(`${results.length} requests, ${results.filter(({ status: got }) => got === 200).length} with 200, ${results.filter(({ status: got }) => got === undefined || got === 502).length} lost`)
  // DRAIN: a request reaches a server later than `DrainMs` after a machine acknowledged that it is gone, sent on by machines in touch.
  record(`requests at the server that leaves, later than DrainMs after the ack: ${late.length}`)
  return late.length === 0
})
