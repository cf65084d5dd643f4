import test from 'ava'
import { systemClock, type MemberRecord } from '@orioleslip/core'
import { createLatencies } from '../limits/latencies.js'
import type { PeerPool } from '../links/pool.js'
import { startDeadline } from './call-deadline.js'
import { createForwarder, type ForwardRequest } from './forwarder.js'

const member = (vmId: string): MemberRecord => ({
  vmId, incarnation: 1, version: 1, role: 'node', host: '127.0.0.1', peerPort: 1, callerPort: 0, gossipPort: 0, region: 'r', failureDomain: 'd'
})

/** Creates a forwarder whose only peer is reached through `get`. */
const forwarderTo = (get: PeerPool['get']) => createForwarder({
  self: () => member('self'),
  router: { pick: () => ({ kind: 'route', member: member('peer'), crossesRegion: false }), recordLoad: () => {}, callSent: () => {}, callEnded: () => {}, recordLatency: () => {} },
  pool: { get, request: () => Promise.resolve(undefined), close: () => {} },
  mayRetry: () => false,
  regionBudget: { reserve: () => undefined },
  latencies: createLatencies(systemClock),
  clock: systemClock,
  onRetry: () => {},
  runLocally: () => {}
})
const requestWithin = (ms: number): ForwardRequest => ({
  root: { requestId: 'r', traceId: 'r', customer: '', entryOpKey: 'o', priority: 0, ledger: { host: '127.0.0.1', port: 1 }, region: 'r' },
  service: 's',
  method: 'POST',
  path: '/',
  headers: [],
  opKey: 'o',
  op: undefined,
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
