import test from 'ava'
import { createCanceller, notRun, systemClock, unknownOutcome, type MemberRecord, type Operation, type Refusal, type RouteRequest } from '@orioleslip/core'
import { createLatencies } from '../limits/latencies.js'
import type { PeerConnection } from '../links/connection.js'
import { createOutgoingCall, type OutgoingCall } from '../links/outgoing-call.js'
import type { PeerPool } from '../links/pool.js'
import { startDeadline } from './call-deadline.js'
import { createForwarder, type ForwardRequest, type MayRetry } from './forwarder.js'

const member = (vmId: string): MemberRecord => ({
  vmId, incarnation: 1, version: 1, role: 'node', host: '127.0.0.1', peerPort: 1, callerPort: 0, gossipPort: 0, region: 'r', failureDomain: 'd'
})

/** Creates a forwarder whose only peer is reached through `get`; every failed call may be retried if `mayRetry` says so. */
const forwarderTo = (get: PeerPool['get'], mayRetry: MayRetry = () => false, latencies = createLatencies(systemClock), picks: RouteRequest[] = []) => createForwarder({
  self: () => member('self'),
  router: {
    pick: (req) => {
      picks.push(req)
      return { kind: 'route', member: member('peer'), crossesRegion: false }
    },
    recordLoad: () => {},
    callSent: () => {},
    callEnded: () => {},
    recordLatency: () => {}
  },
  pool: { get, request: () => Promise.resolve(undefined), close: () => {} },
  mayRetry,
  isErrorResponse: (status) => status === 500,
  regionBudget: { reserve: () => undefined },
  latencies,
  clock: systemClock,
  onRetry: () => {},
  runLocally: () => {}
})
const NO_REPORT = { pathLevel: 0, regionBytes: 0 }
const respond = (call: OutgoingCall, status: number) => {
  call.receive({ type: 'responseHead', head: { status, headers: [] } })
  call.receive({ type: 'responseData', chunk: Buffer.from(`body of ${status}`) })
  call.receive({ type: 'responseEnd', report: NO_REPORT })
}
const refuse = (refusal: Refusal) => (call: OutgoingCall) => call.receive({ type: 'refuse', refusal, report: NO_REPORT })

/** Creates a peer that ends the calls sent to it by `ends`, one after the other. */
function scriptedPeer (ends: Array<(call: OutgoingCall) => void>) {
  let calls = 0
  const openCall: PeerConnection['openCall'] = (head) => {
    const call = createOutgoingCall(head, () => {}, () => {}, () => {})
    const end = ends[calls++]!
    queueMicrotask(() => end(call))
    return call
  }
  return { calls: () => calls, get: () => ({ openCall }) as PeerConnection }
}
const requestWithin = (ms: number, repeatable = true): ForwardRequest => ({
  root: { requestId: 'r', traceId: 'r', customer: '', entryOpKey: 'o', priority: 0, ledger: { host: '127.0.0.1', port: 1 }, region: 'r' },
  service: 's',
  method: 'POST',
  path: '/',
  headers: [],
  opKey: 'o',
  caller: 'c',
  op: { repeatable } as Operation,
  body: { kind: 'none' },
  deadline: startDeadline(ms, systemClock.nowMs),
  traceFlags: '00',
  claimKey: undefined
})

// Guards against a call that was never sent being reported as possibly run, when its deadline passes before the peer connection is open.
test('a call whose deadline passes while its peer is being dialed is reported as not run', async (t) => {
  const { forward } = forwarderTo(() => new Promise(() => {}))
  const result = await forward(requestWithin(20))
  t.is(result.kind === 'refused' ? result.refusal.outcome : result.kind, 'not-run')
})

// Guards against a call that waits for the connection to a peer until the process ends, and is cut without an answer (review/8).
test('a call that is recalled while its peer is being dialed is reported as not run', async (t) => {
  const recall = createCanceller()
  const { forward } = forwarderTo(() => new Promise(() => {}))
  const forwarded = forward({ ...requestWithin(60_000), recalled: recall.signal })
  recall.abort()
  const result = await forwarded
  t.is(result.kind === 'refused' ? result.refusal.outcome : result.kind, 'not-run')
})

// Guards against a caller that is told that its call did not run, because the last of several nodes refused it before it reached a target,
// although an earlier one lost the response of a target that may have run it.
test('a call whose first attempt may have run is never reported as not run', async (t) => {
  const peer = scriptedPeer([refuse(unknownOutcome('target-lost', 'reset')), refuse(notRun('overloaded', 'full', 1))])
  const { forward } = forwarderTo(peer.get, ({ attempts }) => attempts < 2)
  const result = await forward(requestWithin(1000))
  t.is(peer.calls(), 2)
  t.like(result, { kind: 'refused', refusal: { outcome: 'unknown', code: 'target-lost' } })
})

// Guards against requests that fail as a whole because one of many servers answered one repeatable call with an error.
test('a repeatable call that a target answered with an error is sent to another target, any other call is not', async (t) => {
  const failing = (call: OutgoingCall) => respond(call, 500)
  const working = (call: OutgoingCall) => respond(call, 200)
  const cases = [
    { ends: [failing, working], status: 200, calls: 2 },
    { ends: [working], status: 200, calls: 1 },
    { ends: [failing], status: 500, calls: 1, repeatable: false },
    { ends: [failing, failing], status: 500, calls: 2 }
  ]
  for (const { ends, status, calls, repeatable = true } of cases) {
    const peer = scriptedPeer(ends)
    const { forward } = forwarderTo(peer.get, ({ attempts }) => attempts < 2)
    const result = await forward(requestWithin(1000, repeatable))
    t.is(peer.calls(), calls)
    t.is(result.kind === 'answer' ? result.head.status : 0, status)
    if (result.kind === 'answer') t.is(Buffer.from((await result.body.read())!).toString(), `body of ${status}`)
  }
})

// Guards against an error of a target being replaced by a refusal that says less, when the second target refuses the call.
test('a call that got an error and then a refusal is reported with an unknown outcome', async (t) => {
  const peer = scriptedPeer([(call) => respond(call, 500), refuse(notRun('overloaded', 'full', 1))])
  const { forward } = forwarderTo(peer.get, ({ attempts }) => attempts < 2)
  t.like(await forward(requestWithin(1000)), { kind: 'refused', refusal: { outcome: 'unknown', code: 'bad-answer' } })
})

// Guards against load without use: the error of a request that was running out of time is answered by running it again.
test('a call with too little time for a second run gets the error response', async (t) => {
  const latencies = createLatencies(systemClock)
  for (let i = 0; i < 10; i++) latencies.add('o', 600)
  for (const { remainingMs, calls } of [{ remainingMs: 1000, calls: 1 }, { remainingMs: 2000, calls: 2 }]) {
    const peer = scriptedPeer([(call) => respond(call, 500), (call) => respond(call, 500)])
    const { forward } = forwarderTo(peer.get, ({ attempts }) => attempts < 2, latencies)
    t.like(await forward(requestWithin(remainingMs)), { kind: 'answer', head: { status: 500 } })
    t.is(peer.calls(), calls)
  }
})

// Guards against inter-region traffic that costs more than the request is worth: a large upload that leaves its region to be faster.
test('a call with a large body leaves its region only when that is full', async (t) => {
  const picks: RouteRequest[] = []
  const peer = scriptedPeer([1, 2, 3].map(() => (call: OutgoingCall) => respond(call, 200)))
  const { forward } = forwarderTo(peer.get, undefined, undefined, picks)
  for (const bytes of [100, 60_000]) await forward({ ...requestWithin(1000), body: { kind: 'buffered', bytes: new Uint8Array(bytes) } })
  await forward({ ...requestWithin(1000), body: { kind: 'stream', read: async () => undefined } })
  t.deepEqual(picks.map(({ need }) => need !== undefined), [true, false, false])
})

// Guards against calls that a stopping node passes on late in its drain, because their body came late or they are retried, and that are cut
// when the drain ends.
test('an attempt that would start after the node has stopped accepting requests is refused', async (t) => {
  const draining = notRun('draining', 'the node is stopping', 1)
  const full = notRun('overloaded', 'full', 1)
  const lost = unknownOutcome('target-lost', 'reset')
  const cases = [
    { acceptedAttempts: 0, first: full, calls: 0, refusal: draining },
    { acceptedAttempts: 1, first: full, calls: 1, refusal: draining },
    { acceptedAttempts: 1, first: lost, calls: 1, refusal: lost }
  ]
  for (const { acceptedAttempts, first, calls, refusal } of cases) {
    const peer = scriptedPeer([refuse(first), (call) => respond(call, 200)])
    const { forward } = forwarderTo(peer.get, ({ attempts }) => attempts < 2)
    const attemptRefusal = () => peer.calls() < acceptedAttempts ? undefined : draining
    t.like(await forward({ ...requestWithin(1000), attemptRefusal }), { kind: 'refused', refusal })
    t.is(peer.calls(), calls)
  }
})
