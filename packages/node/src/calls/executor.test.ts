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
    deferBody: false,
    bodyBytes: 0
  }
}

/** Runs one call at an executor whose target returns `reply`; returns the reported refusals and the messages sent to the caller. */
async function runCall (
  { callRefusal, slots = 1, reply, heldMs }: { callRefusal?: Refusal, slots?: number, reply?: TargetReply, heldMs?: number }
) {
  const clock = createFakeClock()
  const gate = createTargetGate({ clock, limiter: createAnnouncedLimit() })
  gate.targetStarted(slots)
  const announcement = { service: 'shop', instance: 'i-1' }
  // With `heldMs` the target does not respond until the call is cancelled.
  const run = ({ signal }: { signal: AbortSignal }) => heldMs === undefined
    ? Promise.resolve(reply)
    : new Promise((resolve) => { signal.addEventListener('abort', () => resolve({ kind: 'failed', sent: true, message: 'the call was cancelled' })) })
  const client = { run, close: () => Promise.resolve() }
  const target = { current: () => ({ announcement, client }) } as unknown as LocalTarget
  const refused: Array<{ requestId: string, refusal: Refusal, report: CallReport }> = []
  const sent: StreamMessage[] = []
  const executor = createExecutor({
    target,
    gate,
    clock,
    inbound: createInboundCalls(clock.nowMs),
    guard: { begin: () => Promise.reject(new Error('no call of this test has a key')) },
    callRefusal: () => callRefusal,
    onRefused: (call, refusal, report) => refused.push({ requestId: call.head.root.requestId, refusal, report })
  })
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
  const body = { read: () => Promise.reject(new Error('cut')) }
  const { refused } = await runCall({ reply: { kind: 'head', status: 200, headers: [], unframed: false, body, abort: () => {} } })
  t.like(refused[0]!.refusal, unknownOutcome('bad-answer', 'the target\'s response was cut off: cut'))
})

// Guards against a call that its caller cancelled being reported as a lost target, without the time that it spent at the target.
test('a call cancelled by its caller is reported with the time that it spent at the target', async (t) => {
  const { refused } = await runCall({ heldMs: 397 })
  t.is(refused[0]!.refusal.code, 'deadline-exceeded')
  t.is(refused[0]!.refusal.outcome, 'unknown')
  t.regex(refused[0]!.refusal.detail, /no response after 397 ms/)
})
