import type { IncomingMessage, ServerResponse } from 'node:http'
import { systemClock } from '@orioleslip/core'
import test, { type ExecutionContext } from 'ava'
import { DRAIN_MS, LEAVE_MS, sendTo, startPlansFleet, type PlansNode } from './testing/plans-fleet.js'

/** Time behind the end of the drain until which answers are due, in ms. */
const ANSWER_MS = 1000
const POLL_MS = 20
/** Time before the stop in which requests reach their targets, in ms. */
const BEFORE_MS = 300
/** Work of a target whose answer comes within the drain, in ms. */
const WORK_MS = 2000
/** Time by which a node that handles the signal to stop late may shorten its drain, in ms. */
const SIGNAL_DELAY_MS = 500
/** Time from the stop to an answer that comes shortly before the earliest end of the drain, in ms. */
const LATE_ANSWER_MS = LEAVE_MS + DRAIN_MS - SIGNAL_DELAY_MS - 400
/** Time-out of requests that never get an answer of their target, in ms; it passes after the drain. */
const TIMEOUT_MS = 9000

/**
 * Starts a fleet whose targets answer "/work" after a while, "/late" when `answerLate` is called, and "/hang" and "/hints" never, and call
 * "stock" for "/parent".
 */
async function startFleet (t: ExecutionContext) {
  const ran: string[] = []
  const late: ServerResponse[] = []
  const respond = async (req: IncomingMessage, res: ServerResponse, nodeUrl: string) => {
    const path = req.url!
    ran.push(path)
    if (path.endsWith('/hang')) return
    if (path.endsWith('/late')) return late.push(res)
    if (path.endsWith('/hints')) {
      res.writeProcessing()
      res.writeEarlyHints({ link: '</style.css>; rel=preload' })
      return
    }
    if (path.endsWith('/work')) await systemClock.sleep(WORK_MS)
    if (!path.endsWith('/parent')) return res.end(`${path} ${ran.length}`)
    const child = await sendTo({ url: nodeUrl }, 'GET', '/stock/items/hang', { traceparent: String(req.headers.traceparent) })
    res.writeHead(child.status === 200 ? 200 : 500).end(`child ${child.status}`)
  }
  const fleet = await startPlansFleet(t, respond)
  const answerLate = () => { for (const res of late) res.end('late') }
  return { ...fleet, answerLate, runsOf: (name: string) => ran.filter((path) => path.endsWith(`/${name}`)).length }
}

const STOPS = [
  ['the node where requests enter', (entry: PlansNode) => [entry]],
  ['the node beside the target', (_entry: PlansNode, beside: PlansNode) => [beside]],
  ['both nodes at once', (entry: PlansNode, beside: PlansNode) => [entry, beside]]
] as const

const timeout = { 'orioleslip-timeout-ms': String(TIMEOUT_MS) }

// Guards against requests that were read whole and are cut without an answer, as their target does not answer before the drain ends: reads,
// claims at a local target and at another one, requests with interim responses only, and those whose target waits for a child call.
for (const [name, stoppingOf] of STOPS) {
  test.serial(`each request at a target that never answers is answered as unknown at a planned stop of ${name}`, async (t) => {
    const { entry, beside, runsOf } = await startFleet(t)
    const sends = [
      sendTo(entry, 'GET', '/shop/items/hang', timeout),
      sendTo(entry, 'GET', '/shop/items/hints', timeout),
      sendTo(entry, 'POST', '/shop/orders/hang', { ...timeout, 'idempotency-key': 'k-hang' }),
      sendTo(entry, 'POST', '/stock/orders/hang', { ...timeout, 'idempotency-key': 'k-local' })
    ]
    const sentParent = sendTo(entry, 'GET', '/shop/items/parent', timeout)
    while (runsOf('hang') + runsOf('hints') < 5) await systemClock.sleep(POLL_MS)
    const stopMs = performance.now()
    const stopping: PlansNode[] = stoppingOf(entry, beside)
    await Promise.all(stopping.map((node) => node.drain()))
    const results = await Promise.all(sends)
    const parent = await sentParent
    t.deepEqual(results.map(({ status, outcome }) => [[502, 504].includes(status as number), outcome]), results.map(() => [true, 'unknown']), JSON.stringify(results))
    // What the target says of its failed child call, or a failure of the nodes' own.
    t.true([500, 502, 504].includes(parent.status as number), JSON.stringify(parent))
    const dueMs = stopping.includes(entry) ? LEAVE_MS + DRAIN_MS + ANSWER_MS : TIMEOUT_MS
    t.deepEqual([...results, parent].filter(({ answeredMs }) => answeredMs - stopMs > dueMs), [])
  })
}

// Guards against a child call of the local target that is cut when the drain of its node ends: the target can't answer its own caller.
test.serial('a child call that is open when the drain of its node ends is answered', async (t) => {
  const children: Array<Promise<Awaited<ReturnType<typeof sendTo>>>> = []
  const { beside, entry } = await startPlansFleet(t, (req, res, nodeUrl) => {
    if (req.url!.endsWith('/ready')) return res.end('ok')
    if (req.url !== '/items/parent') return
    children.push(sendTo({ url: nodeUrl }, 'GET', '/stock/items/hang', { traceparent: String(req.headers.traceparent) }))
    children.push(sendTo({ url: nodeUrl }, 'POST', '/stock/orders/hang', { traceparent: String(req.headers.traceparent), 'idempotency-key': 'k-child' }))
  })
  const parent = sendTo(entry, 'GET', '/shop/items/parent', timeout)
  await systemClock.sleep(BEFORE_MS)
  await beside.drain()
  const results = await Promise.all(children)
  t.deepEqual(results.map(({ status, outcome }) => [status, outcome]), [[502, 'unknown'], [502, 'unknown']])
  t.like(await parent, { outcome: 'unknown' })
})

// Guards against a claim that ran within the drain, and whose record is missing once the node has stopped, so that a resend runs it again.
for (const [name, stoppingOf] of STOPS.slice(0, 2)) {
  test.serial(`a claim that runs during a planned stop of ${name} is answered, recorded and replayed`, async (t) => {
    const { entry, beside, startSpare, runsOf } = await startFleet(t)
    const key = { 'idempotency-key': 'k-work' }
    const sent = sendTo(entry, 'POST', '/shop/orders/work', key)
    await systemClock.sleep(BEFORE_MS)
    const [stopping] = stoppingOf(entry, beside)
    await stopping!.drain()
    const first = await sent
    t.like(first, { status: 200, outcome: 'complete' })
    const other = stopping === entry ? beside : entry
    if (stopping === beside) await startSpare(other)
    const second = await sendTo(other, 'POST', '/shop/orders/work', key)
    t.like(second, { status: 200, outcome: 'complete', text: first.text })
    t.is(runsOf('work'), 1)
  })
}

// Guards against callers that are cut while a stopping node waits for its records, with the key register out of reach: a claim that has run
// is answered although its record is missing, and nobody's answer waits behind the drain.
test.serial('answers are given before the wait for records that can\'t be written', async (t) => {
  const { control, entry, runsOf, answerLate } = await startFleet(t)
  const sends = [
    sendTo(entry, 'POST', '/stock/orders/work', { ...timeout, 'idempotency-key': 'k-work' }),
    sendTo(entry, 'POST', '/stock/orders/late', { ...timeout, 'idempotency-key': 'k-late' }),
    sendTo(entry, 'POST', '/stock/orders/hang', { ...timeout, 'idempotency-key': 'k-hang' })
  ]
  while (runsOf('work') + runsOf('late') + runsOf('hang') < sends.length) await systemClock.sleep(POLL_MS)
  await control.stop()
  const stopMs = performance.now()
  const drained = entry.drain()
  await systemClock.sleep(LATE_ANSWER_MS)
  answerLate()
  await drained
  const results = await Promise.all(sends)
  t.deepEqual(results.map(({ status, outcome }) => [status, outcome]), [[200, 'complete'], [200, 'complete'], [502, 'unknown']])
  t.deepEqual(results.filter(({ answeredMs }) => answeredMs - stopMs > LEAVE_MS + DRAIN_MS + ANSWER_MS), [])
})
