// A server answers with a body that contains the start of an HTTP response, whose second line has a long run of spaces and a bare CR.
import { answerWhole, configOf, openClient, runCase, sleep, TROUBLE } from '../lib-2/fleet.mjs'

const HOST = 'hulo84.example'
/** Timeouts of the two routes, and time limits of their clients, in ms. */
const LOG_TIMEOUT_MS = 5000
const LOG_DEADLINE_MS = 6000
const TIMEOUT_MS = 2000
const DEADLINE_MS = 5000
/** Spaces in the line; the whole body is smaller than most answers of a small deployment. */
const SPACES = 8000
/** Requests that clients of each machine then send on another route. */
const REQUESTS = 6
/** Time after a route's timeout in which a request has to be answered, in ms. */
const SLACK_MS = 500

// A log of a terminal, as a server may store and hand out: the padding of a progress line that ends with a bare CR.
const stored = (spaces) => `$ curl -i http://stock.example/\nHTTP/1.1 200 OK\nprogress:${' '.repeat(spaces)}\rdone\n`

await runCase(import.meta.url, async (fleet, record) => {
  const config = configOf('00000007', '00000000', [
    [HOST, '/leny950/', 'idempotent', 'huvo11a', LOG_TIMEOUT_MS, 2], [HOST, '/puka111/', 'idempotent', 'wuno96b', TIMEOUT_MS, 2]
  ])
  const { nodes } = await fleet.start({ services: ['wuno96b', 'huvo11a', 'huvo11a', 'huvo11a'], config })
  const [entry, ...besideLogs] = nodes
  const answer = (request) => answerWhole(request, 20, request.path === '/leny950/log' ? stored(TROUBLE ? SPACES : 8) : 'ok')
  for (const node of nodes) await fleet.startServer(node, { concurrency: 64, answer })
  const send = async (node, path, id, deadlineMs) => {
    const client = openClient(`${node.ip}:${fleet.ports.outbound}`)
    const sentMs = performance.now()
    const got = await client.send({ host: HOST, path, id, deadlineMs })
    client.close()
    const durationMs = performance.now() - sentMs
    record(`client of ${node.name} sent ${id} (${path}) and got ${got.status ?? (got.timedOut ? 'no answer' : got.ended)} after ${Math.round(durationMs)} ms`)
    return { status: got.status, durationMs }
  }
  // The servers are announced, and known to the nodes.
  for (let i = 0; i < 40; i++) {
    const got = await Promise.all(nodes.flatMap((node) => [send(node, '/leny950/a', `warm-l${i}-${node.name}`, DEADLINE_MS), send(node, '/puka111/a', `warm-p${i}-${node.name}`, DEADLINE_MS)]))
    if (got.every(({ status }) => status === 200)) break
    await sleep(250)
  }
  // In touch: nothing has happened to any machine for more than `ContactMs`.
  await sleep(4000)
  // The client sends an idempotent request once more after a failure, within its time limit.
  const first = await send(entry, '/leny950/log', 'log', LOG_DEADLINE_MS)
  const leftMs = Math.floor(LOG_DEADLINE_MS - first.durationMs)
  if (first.status !== 200 && leftMs > 100) await send(entry, '/leny950/log', 'log-again', leftMs)
  // Requests on another route, which the server beside the first node runs.
  const others = await Promise.all(besideLogs.flatMap((node) =>
    Array.from({ length: REQUESTS }, (_, i) => send(node, '/puka111/b', `other-${node.name}-${i}`, DEADLINE_MS))))
  const isLate = ({ status, durationMs }) => status === undefined || durationMs > TIMEOUT_MS + SLACK_MS
  const unanswered = others.filter(isLate).length
  record(`${unanswered} of ${others.length} requests on the other route had no answer ${SLACK_MS} ms after its timeout`)
  for (const node of nodes) record(`${node.name} is ${await fleet.isReady(node) ? 'ready' : 'not ready'}; its process ${node.exited === undefined ? 'runs' : `has ended: ${node.exited}`}`)
  // CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer half a second later.
  return unanswered === 0
})
