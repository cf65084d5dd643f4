// A server answers with a body that contains the start of an HTTP response, whose second line has a long run of spaces and a bare CR.
import { answerWhole, configOf, openClient, runCase, sleep, TROUBLE } from '../lib-2/fleet.mjs'

const HOST = 'hulo84.example'
const TIMEOUT_MS = 2000
/** Time for which the clients wait, in ms. */
const DEADLINE_MS = 5000
/** Spaces in the line; the whole body is smaller than the answers of a small deployment. */
const SPACES = 8000
const REQUESTS = 12
/** Time after a route's timeout in which a request has to be answered, in ms. */
const SLACK_MS = 500

// A log of a terminal, as a server may store and hand out: the padding of a progress line that ends with a bare CR.
const stored = (spaces) => `$ curl -i http://stock.example/\nHTTP/1.1 200 OK\nprogress:${' '.repeat(spaces)}\rdone\n`

await runCase(import.meta.url, async (fleet, record) => {
  const config = configOf('00000007', '00000000', [[HOST, '/leny950/', 'idempotent', 'huvo11a', TIMEOUT_MS, 2], [HOST, '/puka111/', 'idempotent', 'wuno96b', TIMEOUT_MS, 2]])
  const { nodes: [first, second] } = await fleet.start({ services: ['huvo11a', 'wuno96b'], config })
  const answer = (request) => answerWhole(request, 20, request.path === '/leny950/log' ? stored(TROUBLE ? SPACES : 8) : 'ok')
  for (const node of [first, second]) await fleet.startServer(node, { concurrency: 64, answer })
  const outbound = `${first.ip}:${fleet.ports.outbound}`
  const send = async (path, id) => {
    const client = openClient(outbound)
    const sentMs = performance.now()
    const got = await client.send({ host: HOST, path, id, deadlineMs: DEADLINE_MS })
    client.close()
    const text = got.status ?? (got.timedOut ? 'no answer' : got.ended)
    record(`client sent ${id} (${path}) and got ${text} after ${Math.round(performance.now() - sentMs)} ms`)
    return { status: got.status, durationMs: performance.now() - sentMs }
  }
  // The servers are announced, and known to the nodes.
  for (let i = 0; i < 40; i++) {
    const got = await Promise.all([send('/leny950/a', `warm-l${i}`), send('/puka111/a', `warm-p${i}`)])
    if (got.every(({ status }) => status === 200)) break
    await sleep(250)
  }
  // In touch: nothing has happened to any machine for more than `ContactMs`.
  await sleep(4000)
  const log = send('/leny950/log', 'log')
  await sleep(100)
  // Requests on another route, which the server beside the other node runs.
  const others = await Promise.all(Array.from({ length: REQUESTS }, (_, i) => send('/puka111/b', `other-${i}`)))
  await log
  const unanswered = others.filter(({ status, durationMs }) => status === undefined || durationMs > TIMEOUT_MS + SLACK_MS).length
  record(`${unanswered} of ${REQUESTS} requests of other clients had no answer ${SLACK_MS} ms after the timeout of their route`)
  record(`the node is ${await fleet.isReady(first) ? 'ready' : 'not ready'}; its process ${first.exited === undefined ? 'runs' : `has ended: ${first.exited}`}`)
  // CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer half a second later.
  return unanswered === 0
})
