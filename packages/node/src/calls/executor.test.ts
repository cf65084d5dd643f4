import test from 'ava'
import { createFakeClock, notRun, unknownOutcome, type Refusal } from '@orioleslip/core'
import { createTargetGate } from '../admission/target-gate.js'
import { createIncomingCall } from '../links/incoming-call.js'
import type { CallHead, CallReport, StreamMessage } from '../links/messages.js'
import { createAnnouncedLimit } from '../limits/announced-limit.js'
import type { LocalTarget } from '../target/local-target.js'
import type { TargetReply } from '../target/target-client.js'
import { createExecutor } from './executor.js'
import { createInboundCalls } from './inbound-calls.js'

function createHead (): CallHead {
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
    offer: false,
    bodyBytes: 0
  }
}

/** Runs one call at an executor whose target gives `reply`; returns what was told of it and what the caller got. */
async function runCall ({ closed, slots = 1, reply, heldMs }: { closed?: Refusal, slots?: number, reply?: TargetReply, heldMs?: number }) {
  const clock = createFakeClock()
  const gate = createTargetGate({ clock, limiter: createAnnouncedLimit() })
  gate.targetStarted(slots)
  const announcement = { service: 'shop', instance: 'i-1' }
  // With `heldMs` the target gives nothing until the call is cancelled.
  const run = ({ signal }: { signal: AbortSignal }) => heldMs === undefined
    ? Promise.resolve(reply)
    : new Promise((resolve) => { signal.addEventListener('abort', () => resolve({ kind: 'failed', sent: true, message: 'the call was cancelled' })) })
  const client = { run, close: () => Promise.resolve() }
  const target = { current: () => ({ announcement, client }) } as unknown as LocalTarget
  const told: Array<{ requestId: string, refusal: Refusal, report: CallReport }> = []
  const sent: StreamMessage[] = []
  const executor = createExecutor({
    target,
    gate,
    clock,
    inbound: createInboundCalls(clock.nowMs),
    guard: { begin: () => Promise.reject(new Error('no call of this test has a key')) },
    closedFor: () => closed,
    onRefused: (call, refusal, report) => told.push({ requestId: call.head.root.requestId, refusal, report })
  })
  const ended = new Promise<void>((resolve) => {
    const call = createIncomingCall(createHead(), (msg) => sent.push(msg), resolve)
    executor.execute(call)
    if (heldMs !== undefined) clock.advance(heldMs).then(() => call.lost('the caller has gone'), () => {})
  })
  await ended
  await clock.advance(0)
  return { told, sent }
}

// Guards against refusals that leave no trace, so that nobody can tell afterwards which node turned a call away and why.
test('each call that comes to nothing is told of, as its caller learns it, with the load at that moment', async (t) => {
  const cases = [
    { closed: notRun('draining', 'the node stops', 1), code: 'draining', reached: undefined },
    { slots: 0, code: 'no-target', reached: undefined },
    { reply: { kind: 'failed' as const, sent: true, message: 'reset' }, code: 'target-lost', reached: true },
    { reply: { kind: 'failed' as const, sent: false, message: 'refused' }, code: 'target-lost', reached: false }
  ]
  for (const { code, reached, ...given } of cases) {
    const { told, sent } = await runCall(given)
    t.is(told.length, 1, code)
    const { requestId, refusal, report } = told[0]!
    t.is(requestId, 'req-1')
    t.is(refusal.code, code as Refusal['code'])
    t.is(report.reachedTarget, reached)
    t.is(report.load?.limit, given.slots ?? 1)
    t.deepEqual(sent, [{ type: 'refuse', refusal, report }])
  }
})

// Guards against an answer that breaks off without a trace on the node where that was seen.
test('an answer that breaks off is told of', async (t) => {
  const body = { read: () => Promise.reject(new Error('cut')) }
  const { told } = await runCall({ reply: { kind: 'head', status: 200, headers: [], unframed: false, body, abort: () => {} } })
  t.like(told[0]!.refusal, unknownOutcome('bad-answer', 'the target\'s answer broke off: cut'))
})

// Guards against a log that blames a lost target for a call that its caller gave up, and hides how long the target had it.
test('a call given up by its caller is told of with the time that the target held it', async (t) => {
  const { told } = await runCall({ heldMs: 397 })
  t.is(told[0]!.refusal.code, 'deadline-exceeded')
  t.is(told[0]!.refusal.outcome, 'unknown')
  t.regex(told[0]!.refusal.detail, /no answer after 397 ms/)
})
