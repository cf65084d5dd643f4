import test from 'ava'
import { createCanceller, createFakeClock, notRun, unknownOutcome, type Refusal } from '@orioleslip/core'
import { createTargetGate } from '../admission/target-gate.js'
import { createIncomingCall } from '../links/incoming-call.js'
import type { CallHead, CallReport, StreamMessage } from '../links/messages.js'
import { createAnnouncedLimit } from '../limits/announced-limit.js'
import { noCrashGuard } from '../crashes/no-crash-guard.js'
import { createNoticeReader } from '../target/target-notices.js'
import type { LocalTarget } from '../target/local-target.js'
import type { TargetClient, TargetReply } from '../target/target-client.js'
import { createResponseCheck } from '../routes/call-headers.js'
import { createExecutor, type ExecutorOptions } from './executor.js'
import { createInboundCalls } from './inbound-calls.js'

function createHead (over: Partial<CallHead> = {}): CallHead {
  return {
    root: {
      requestId: 'req-1', traceId: 't', customer: '', entryOpKey: 'op', priority: 9, ledger: { host: '127.0.0.1', port: 1 }, region: 'r1'
    },
    service: 'shop',
    method: 'GET',
    path: '/',
    headers: [],
    opKey: 'op',
    remainingMs: 1000,
    traceFlags: '00',
    deferBody: false,
    bodyBytes: 0,
    ...over
  }
}

type HeadReply = Extract<TargetReply, { kind: 'head' }>

/** Creates a reply of the target whose head has arrived. */
function headReply (over: Partial<HeadReply> & Pick<HeadReply, 'body'>): HeadReply {
  return {
    kind: 'head',
    status: 200,
    headers: [],
    unframed: false,
    abort: () => {},
    transfer: () => ({ bodyBytes: 0, connectionCalls: 1, connectionEnd: 'open', unreadMs: 0 }),
    ...over
  }
}

/** Creates an executor with a fake clock and a target whose client is `run`. */
function createFixture (
  { run, slots = 1, callRefusal, ...options }: Pick<ExecutorOptions, 'sendRefusal' | 'drainEnded' | 'checkResponse' | 'crashes'> & {
    run: TargetClient['run'], slots?: number, callRefusal?: Refusal | undefined
  }
) {
  const clock = createFakeClock()
  const gate = createTargetGate({ clock, limiter: createAnnouncedLimit() })
  gate.targetStarted(slots)
  let announcement = { service: 'shop', instance: 'i-1' }
  const client = { run, close: () => Promise.resolve() }
  const target = { current: () => ({ announcement, client }), leavingProcess: () => undefined } as unknown as LocalTarget
  const refused: Array<{ requestId: string, refusal: Refusal, report: CallReport }> = []
  let leavingNotices = 0
  const executor = createExecutor({
    target,
    gate,
    clock,
    inbound: createInboundCalls(clock.nowMs),
    guard: { begin: () => Promise.reject(new Error('no call of this test has a key')) },
    reads: { caughtUp: () => undefined },
    callRefusal: () => callRefusal,
    readNotices: createNoticeReader({ rateLimit: 'x-limit', leaving: 'x-leaving' }),
    onNotices: (_sender, { leaving }) => { leavingNotices += leaving ? 1 : 0 },
    ...options,
    onRefused: (call, refusal, report) => refused.push({ requestId: call.head.root.requestId, refusal, report })
  })
  const announce = (instance: string, service = 'shop') => { announcement = { service, instance } }
  return { clock, gate, refused, executor, announce, leavingNotices: () => leavingNotices }
}

/** Runs one call at an executor whose target returns `reply`; returns the reported refusals and the messages sent to the caller. */
async function runCall (
  { callRefusal, slots = 1, reply, heldMs }: { callRefusal?: Refusal, slots?: number, reply?: TargetReply, heldMs?: number }
) {
  // With `heldMs` the target does not respond until the call is cancelled.
  const run: TargetClient['run'] = ({ signal }) => new Promise((resolve) => {
    if (heldMs === undefined) resolve(reply!)
    else signal.addEventListener('abort', () => resolve({ kind: 'failed', sent: true, message: 'the call was cancelled' }))
  })
  const { clock, refused, executor } = createFixture({ run, slots, callRefusal })
  const sent: StreamMessage[] = []
  const ended = new Promise<void>((resolve) => {
    const call = createIncomingCall(createHead(), (msg) => sent.push(msg), resolve)
    executor.execute(call)
    if (heldMs !== undefined) clock.advance(heldMs).then(() => call.lost('the caller disconnected'), () => {})
  })
  await ended
  await clock.advance(0)
  return { refused, sent }
}

// Guards against refusals that are sent to the caller but not reported on the executor node, so that its log does not show which node
// refused a call and why.
test('each refused call is reported with the refusal sent to its caller and the current load', async (t) => {
  const cases = [
    { callRefusal: notRun('draining', 'the node stops', 1), code: 'draining', reached: undefined },
    { slots: 0, code: 'no-target', reached: undefined },
    { reply: { kind: 'failed' as const, sent: true, message: 'reset' }, code: 'target-lost', reached: true },
    { reply: { kind: 'failed' as const, sent: false, message: 'refused' }, code: 'target-lost', reached: false }
  ]
  for (const { code, reached, ...given } of cases) {
    const { refused, sent } = await runCall(given)
    t.is(refused.length, 1, code)
    const { requestId, refusal, report } = refused[0]!
    t.is(requestId, 'req-1')
    t.is(refusal.code, code as Refusal['code'])
    t.is(report.reachedTarget, reached)
    t.is(report.load?.limit, given.slots ?? 1)
    t.deepEqual(sent, [{ type: 'refuse', refusal, report }])
  }
})

// Guards against a cut-off response that is not reported on the node that observed it, since its head had already been forwarded.
test('a response that is cut off is reported', async (t) => {
  const body = { read: () => Promise.reject(new Error('cut')), takeRest: () => undefined }
  const { refused } = await runCall({ reply: headReply({ body }) })
  t.like(refused[0]!.refusal, unknownOutcome('bad-answer', 'the target\'s response was cut off: cut'))
})

// Guards against a call that is sent to further targets without a limit, because the refusal of its cut-off response does not say that a
// target had it.
for (const unframed of [false, true]) {
  test(`the refusal of a cut-off response ${unframed ? 'without' : 'with'} a length says that the target had the call`, async (t) => {
    const body = { read: () => Promise.reject(new Error('cut')), takeRest: () => undefined }
    const { refused } = await runCall({ reply: headReply({ unframed, body }) })
    t.true(refused[0]!.report.reachedTarget)
  })
}

// Guards against a call that its caller cancelled being reported as a lost target, without the time that it spent at the target.
test('a call cancelled by its caller is reported with the time that it spent at the target', async (t) => {
  const { refused } = await runCall({ heldMs: 397 })
  t.is(refused[0]!.refusal.code, 'deadline-exceeded')
  t.is(refused[0]!.refusal.outcome, 'unknown')
  t.regex(refused[0]!.refusal.detail, /no response after 397 ms/)
})

// Guards against a request without a response of which the log does not show whether its target was silent as a whole or only to it.
test('a call cancelled while it runs is reported with the responses of its target to other calls', async (t) => {
  const body = { read: () => Promise.resolve(undefined), takeRest: () => new Uint8Array(0) }
  const { clock, refused, executor } = createFixture({
    slots: 3,
    run: ({ path, signal }) => new Promise((resolve) => {
      if (path === '/answered') resolve(headReply({ body }))
      else signal.addEventListener('abort', () => resolve({ kind: 'failed', sent: true, message: 'the call was cancelled' }))
    })
  })
  const run = (path: string) => {
    const call = createIncomingCall(createHead({ path }), () => {}, () => {})
    executor.execute(call)
    return call
  }
  const first = run('/lost')
  await clock.advance(100)
  run('/answered')
  await clock.advance(200)
  const second = run('/lost')
  await clock.advance(50)
  for (const call of [first, second]) call.lost('the caller disconnected')
  await clock.advance(0)
  t.deepEqual(refused.map(({ refusal }) => refusal.detail.split('; ')[1]), [
    'it had responded to 1 others since, the last 250 ms before', 'it had responded to no other call since'
  ])
})

// Guards against a call that is lost with its node at the end of a drain, and a caller that does not learn that it may send it elsewhere.
test('a call without a response at the end of the drain is refused as of unknown outcome, one with a response is left alone', async (t) => {
  const drain = createCanceller()
  const body = { read: () => new Promise<undefined>(() => {}), takeRest: () => undefined }
  const { clock, refused, executor } = createFixture({
    slots: 2,
    drainEnded: drain.signal,
    run: ({ path, signal }) => new Promise((resolve) => {
      if (path === '/begun') resolve(headReply({ headers: ['content-length', '1000000'], body }))
      else signal.addEventListener('abort', () => resolve({ kind: 'failed', sent: true, message: 'the call was cancelled' }))
    })
  })
  const calls = ['/begun', '/lost'].map((path) => createIncomingCall(createHead({ path }), () => {}, () => {}))
  for (const call of calls) executor.execute(call)
  await clock.advance(10)
  drain.abort()
  await clock.advance(0)
  t.deepEqual(refused.map(({ refusal, report }) => [refusal.code, refusal.outcome, report.reachedTarget]), [['target-lost', 'unknown', true]])
})

/** Starts a call that takes the only slot and one that waits for it; `release` ends the first and resolves when both have ended. */
async function queueBehindRunningCall (sendRefusal: ExecutorOptions['sendRefusal'] = () => undefined) {
  const ran: string[] = []
  let respond = () => {}
  const fixture = createFixture({
    run: ({ path }) => new Promise((resolve) => {
      ran.push(path)
      const body = { read: () => Promise.resolve(undefined), takeRest: () => new Uint8Array(0) }
      respond = () => resolve(headReply({ body }))
    }),
    sendRefusal
  })
  for (const path of ['/first', '/second']) {
    fixture.executor.execute(createIncomingCall(createHead({ path }), () => {}, () => {}))
    await fixture.clock.advance(0)
  }
  const release = async () => {
    respond()
    await fixture.clock.advance(0)
    respond()
    await fixture.clock.advance(0)
  }
  return { ...fixture, ran, release }
}

// Guards against a request that is run by a server of another service, which got the address while the request waited.
test('a call that waited is not sent to a target of another service', async (t) => {
  const { announce, gate, refused, ran, release } = await queueBehindRunningCall()
  announce('i-2', 'claims')
  await release()
  t.deepEqual(ran, ['/first'])
  t.like(refused[0]?.refusal, { code: 'no-target', outcome: 'not-run' })
  t.is(gate.load().inFlight, 0)
})

// Guards against requests that reach a target after its drain time, and are lost when it ends, because they were accepted before.
test('a call that waited is not sent to a target that has been leaving for the drain time', async (t) => {
  let isDrained = false
  const { refused, ran, release } = await queueBehindRunningCall(() => isDrained ? notRun('draining', 'the target is leaving', 1) : undefined)
  isDrained = true
  await release()
  t.deepEqual(ran, ['/first'])
  t.like(refused[0]?.refusal, { code: 'draining', outcome: 'not-run' })
})

// Guards against a slot that stays taken after a caller has left in the middle of a body: the target then gets ever fewer calls.
test('a call cancelled while its body arrives releases its permit and is reported as not run', async (t) => {
  const { clock, gate, refused, executor } = createFixture({ run: () => Promise.reject(new Error('the call must not be sent')) })
  const call = createIncomingCall(createHead({ method: 'PUT', deferBody: true, bodyBytes: 10 }), () => {}, () => {})
  executor.execute(call)
  await clock.advance(0)
  t.is(gate.load().inFlight, 1)
  call.receive({ type: 'data', chunk: new Uint8Array(4) })
  call.receive({ type: 'cancel' })
  await clock.advance(0)
  t.is(gate.load().inFlight, 0)
  t.is(refused[0]!.refusal.outcome, 'not-run')
  t.is(refused[0]!.report.reachedTarget, undefined)
})

// Guards against a call that is sent past its deadline by a process that was late: its timers run a turn after the bytes that it reads.
test('a call whose deadline passed while its body arrived is refused as not run before its timer runs', async (t) => {
  const { clock, gate, refused, executor } = createFixture({ run: () => Promise.reject(new Error('the call must not be sent')) })
  const call = createIncomingCall(createHead({ method: 'PUT', bodyBytes: 4, remainingMs: 1000 }), () => {}, () => {})
  executor.execute(call)
  await clock.advance(1001)
  call.receive({ type: 'data', chunk: new Uint8Array(4) })
  call.receive({ type: 'end' })
  await clock.advance(0)
  t.like(refused[0]?.refusal, { code: 'deadline-exceeded', outcome: 'not-run' })
  t.is(gate.load().inFlight, 0)
})

// Guards against work for callers that have left: the cancel of a call that came late is late as well, in a queue or on the link.
test('a call that came late is sent once its sender\'s messages have been read, or after half of its time', async (t) => {
  for (const event of ['cancel', 'pong', 'silence'] as const) {
    let sent = 0
    const { clock, executor } = createFixture({
      run: () => {
        sent++
        return Promise.resolve({ kind: 'failed', sent: true, message: 'reset' })
      }
    })
    let readAll = () => {}
    const link = { waitedMs: 400, readAll: () => new Promise<void>((resolve) => { readAll = resolve }) }
    const call = createIncomingCall(createHead({ remainingMs: 1000 }), () => {}, () => {}, link)
    executor.execute(call)
    await clock.advance(299)
    t.is(sent, 0, event)
    if (event === 'cancel') call.receive({ type: 'cancel' })
    if (event === 'pong') readAll()
    await clock.advance(1)
    t.is(sent, event === 'cancel' ? 0 : 1, event)
  }
})

// Guards against a call whose body does not have its declared length being sent to the target without a body.
test('a call whose body differs from its declared length is refused as not run', async (t) => {
  for (const receivedBytes of [9, 11, 100_000]) {
    const { clock, gate, refused, executor } = createFixture({ run: () => Promise.reject(new Error('the call must not be sent')) })
    const call = createIncomingCall(createHead({ method: 'PUT', bodyBytes: 10 }), () => {}, () => {})
    executor.execute(call)
    call.receive({ type: 'data', chunk: new Uint8Array(receivedBytes) })
    call.receive({ type: 'end' })
    await clock.advance(0)
    t.is(refused[0]?.refusal.code, 'bad-request', `${receivedBytes} bytes`)
    t.is(refused[0]?.refusal.outcome, 'not-run')
    t.is(gate.load().inFlight, 0)
  }
})

/** Offers `perSecond` calls a second to a target that names a rate limit in each response; returns the times at which it got calls. */
async function sendToLimited ({ perSecond, seconds, limit }: { perSecond: number, seconds: number, limit: string }) {
  const sentMs: number[] = []
  const serviceMs = 60
  const run: TargetClient['run'] = async () => {
    sentMs.push(clock.nowMs())
    await clock.sleep(serviceMs)
    const body = { read: async () => undefined, takeRest: () => undefined }
    return headReply({ headers: ['x-limit', limit], body })
  }
  const { clock, gate, refused, executor } = createFixture({ run, slots: 100 })
  for (let i = 0; i < perSecond * seconds; i++) {
    executor.execute(createIncomingCall(createHead(), () => {}, () => {}))
    await clock.advance(1000 / perSecond)
    gate.tick()
  }
  return { sentMs, refused }
}

/** Largest number of times within `windowMs`, of those at `fromMs` or later. */
function mostWithin (times: readonly number[], windowMs: number, fromMs: number): number {
  const late = times.filter((time) => time >= fromMs)
  return Math.max(0, ...late.map((start) => late.filter((time) => time >= start && time <= start + windowMs).length))
}

// Guards against a target that gets all calls routed to it although it names in its responses how many a second it accepts.
test('a target that names a rate limit gets no more calls than that, and the others are refused as not run', async (t) => {
  const { sentMs, refused } = await sendToLimited({ perSecond: 42, seconds: 10, limit: '17.8' })
  t.true(mostWithin(sentMs, 4000, 3000) <= 1.5 * 17.8 * 4 + 5, `${mostWithin(sentMs, 4000, 3000)} calls in 4 s`)
  t.true(sentMs.filter((time) => time >= 3000).length >= 0.9 * 17.8 * 7)
  t.true(refused.length > 0)
  t.true(refused.every(({ refusal, report }) => refusal.outcome === 'not-run' && report.reachedTarget !== true))
})

// Guards against a limit that is applied to the wrong target process, because the response that names it comes after a replacement.
test('a rate limit named by a process that has been replaced is ignored', async (t) => {
  const { clock, gate, executor, announce } = createFixture({
    run: async () => {
      await clock.sleep(50)
      const body = { read: async () => undefined, takeRest: () => undefined }
      return headReply({ headers: ['x-limit', '5'], body })
    },
    slots: 10
  })
  executor.execute(createIncomingCall(createHead(), () => {}, () => {}))
  await clock.advance(10)
  announce('i-2')
  await clock.advance(100)
  t.is(gate.load().rate, undefined)
  executor.execute(createIncomingCall(createHead(), () => {}, () => {}))
  await clock.advance(100)
  t.is(gate.load().rate?.perSecond, 5)
})

// Guards against a target that is limited or withdrawn because of what another process at its address says of itself.
test('a rate limit and a notice of leaving are ignored in a response that says that another process has responded', async (t) => {
  let status = 421
  const names = { requestId: 'x-id', deadlineMs: 'x-ms', expectedInstance: 'x-for', callerService: 'x-from', notExecuted: 'x-not-run' }
  const { clock, gate, refused, executor, leavingNotices } = createFixture({
    run: async () => {
      const body = { read: async () => undefined, takeRest: () => undefined }
      return headReply({ status, headers: ['x-limit', '5', 'x-leaving', '1', 'x-not-run', '1'], body })
    },
    slots: 10,
    checkResponse: createResponseCheck(names)
  })
  const call = async () => {
    executor.execute(createIncomingCall(createHead(), () => {}, () => {}))
    await clock.advance(100)
  }
  await call()
  t.is(gate.load().rate, undefined)
  t.is(leavingNotices(), 0)
  status = 503
  await call()
  t.is(gate.load().rate?.perSecond, 5)
  t.is(leavingNotices(), 1)
  t.deepEqual(refused.map(({ refusal, report }) => [refusal.code, refusal.outcome, report.reachedTarget]),
    [['no-target', 'not-run', true], ['overloaded', 'not-run', true]])
})

// Guards against calls of nodes of earlier versions, which name no fingerprint, that are all taken for one request: a crash during some of
// them would block all of them.
test('calls without a fingerprint are not judged', async (t) => {
  const judged: number[] = []
  const { executor, refused, clock } = createFixture({
    run: () => Promise.resolve({ kind: 'failed', sent: true, message: 'reset' }),
    slots: 2,
    crashes: {
      ...noCrashGuard,
      admit: (fingerprint) => {
        judged.push(fingerprint)
        return { kind: 'refused', refusal: notRun('request-blocked', 'targets ended while they ran this request', 60) }
      }
    }
  })
  for (const over of [{}, { fingerprint: 7 }]) executor.execute(createIncomingCall(createHead(over), () => {}, () => {}))
  await clock.advance(0)
  t.deepEqual(judged, [7])
  t.deepEqual(refused.map(({ refusal }) => refusal.code).sort(), ['request-blocked', 'target-lost'])
})
