// A server leaves while the node beside it is being stopped as planned; a ping that it sent before arrives late, at the next process.
import { once } from 'node:events'
import { BOUNDS, call, config, nowMs, runCase, sleep, startFleet, startServer, until } from '../lib-3/fleet.mjs'

const HOST = 'claims.example'
/** Time from the SIGTERM to the DELETE, in ms. */
const LEAVE_AFTER_MS = 2000
/** Time for which the ping is on its way, in ms. */
const LATE_MS = 3500
/** Time for which the server goes on serving after the ack, in ms: `DrainMs` and a little longer, at times many seconds. */
const SERVE_MS = BOUNDS.DrainMs + 5500

await runCase(import.meta.url, async ({ record, isTroubled, onEnd }) => {
  const fleet = await startFleet({ record, machines: { 'side-1': 'front', 'side-2': 'claims', 'side-3': 'claims' } })
  onEnd(fleet.stop)
  const routes = [{ name: 'r-claims', host: HOST, prefix: '/claims/', kind: 'non_idempotent', service: 'claims' }]
  const put = await fleet.operator('PUT', config({ version: 1, base: 0, routes, services: ['front', 'claims'] }))
  record(`first desired state: ${put.status}`)
  const leaving = await startServer({ fleet, record, machine: 'side-2', service: 'claims', id: 'i-leaving', workMs: 400 })
  const staying = await startServer({ fleet, record, machine: 'side-3', service: 'claims', id: 'i-staying', workMs: 400 })
  onEnd(() => {
    leaving.end()
    staying.end()
  })
  const sent = new Map()
  const statuses = new Map()
  const send = async () => {
    const id = `req-${sent.size + 1}`
    sent.set(id, nowMs())
    const reply = await call({
      host: fleet.ipOf['side-1'],
      port: fleet.ports.outbound,
      method: 'POST',
      path: '/claims/1',
      body: '{"shift":1}',
      headers: { host: HOST, 'orioleslip-request-id': id, 'orioleslip-deadline-ms': '5000' }
    })
    statuses.set(id, reply.status)
    record(`${id}: ${reply.status}${reply.error === undefined ? '' : ` ${reply.error}`}`)
    return reply.status
  }
  await until('the first answers', async () => await send() === 200 && leaving.arrivals.length > 0 && staying.arrivals.length > 0)
  const loading = setInterval(send, 40)
  onEnd(() => clearInterval(loading))
  await sleep(BOUNDS.ContactMs + 1000)

  const ended = once(fleet.process('side-2'), 'exit')
  if (isTroubled) fleet.signal('side-2', 'SIGTERM')
  await sleep(LEAVE_AFTER_MS)
  // The last ping of the server, which arrives late, and its withdrawal behind it.
  leaving.state.beating = false
  const body = leaving.beatBody()
  record('i-leaving sends a ping, ready, which is held up on its way')
  const arrived = sleep(LATE_MS).then(async () => {
    const reply = await leaving.admin('PUT', body)
    record(`the ping arrives: ${reply.status}`)
  })
  const reply = await leaving.admin('DELETE')
  const ackedMs = nowMs()
  record(`DELETE of i-leaving: ${reply.status}`)
  let inTouchMs = ackedMs
  if (isTroubled) {
    await Promise.race([ended, sleep(BOUNDS.GraceS * 1000 - LEAVE_AFTER_MS)])
    await sleep(300)
    fleet.start('side-2')
    inTouchMs = nowMs() + BOUNDS.ContactMs
  }
  await arrived
  await sleep(ackedMs + SERVE_MS - nowMs())
  const atWork = leaving.arrivals.map(({ requestId }) => requestId).filter((id) => !statuses.has(id))
  leaving.end()
  clearInterval(loading)
  await sleep(1500)
  const lateFromMs = Math.max(ackedMs + BOUNDS.DrainMs, inTouchMs)
  const late = leaving.arrivals.filter(({ requestId, atMs }) => atMs > lateFromMs && sent.get(requestId) > ackedMs)
  for (const { requestId, atMs } of late) record(`${requestId} reached i-leaving ${Math.round(atMs - ackedMs)} ms after the ack`)
  const lost = atWork.filter((id) => statuses.get(id) !== 200)
  return {
    broken: late.length > 0,
    text: `${late.length} requests reached the server later than ${BOUNDS.DrainMs} ms after the ack of its DELETE, all machines in touch; ${lost.length} were lost as it ended`
  }
})
