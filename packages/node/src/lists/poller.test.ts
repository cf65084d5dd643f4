import test from 'ava'
import type { SinceInput, SinceReply } from '@orioleslip/control/client'
import { createFakeClock, diffLists, listsDigest, type ControlPeer, type Lists, type ListsDocument } from '@orioleslip/core'
import { pino } from 'pino'
import { createListsPoller } from './poller.js'

const listsOf = (...names: string[]): Lists => ({
  customers: Object.fromEntries(names.map((name) => [name, 'basic'])), plans: { basic: { ratePerSecond: 1, burst: 1, operations: [] } }
})
const full = (revision: number, ...names: string[]): SinceReply['change'] => ({ kind: 'full', document: { revision, lists: listsOf(...names) } })
const delta = (from: ListsDocument, lists: Lists, digest = listsDigest(lists)): SinceReply['change'] =>
  ({ kind: 'deltas', deltas: [{ from: from.revision, to: from.revision + 1, digest, changes: diffLists(from.lists, lists) }] })

type Responder = (input: SinceInput) => SinceReply | Promise<SinceReply>

const never: Responder = () => new Promise(() => {})
const silent: Responder = () => Promise.reject(new Error('no answer'))

/** A poller of the given control VMs, whose responses can be replaced while it runs. */
function createPoller (responders: Responder[]) {
  const clock = createFakeClock()
  const polls: Array<{ vm: number, input: SinceInput }> = []
  const controls = responders.map((_, i): ControlPeer =>
    ({ vmId: String(i), address: '127.0.0.1', apiPort: 1, gossipPort: 2, failureDomain: `d${i}` }))
  const poller = createListsPoller({
    controls,
    fleetKey: 'fleet-key-0123456789',
    vmId: 'n1',
    log: pino({ level: 'silent' }),
    clock,
    random: { next: () => 0.5, int: () => 0 },
    connect: ({ vmId }) => ({
      vmId,
      since: (input, signal) => {
        const vm = Number(vmId)
        polls.push({ vm, input })
        return new Promise((resolve, reject) => {
          signal.addEventListener('abort', () => reject(new Error('stopped')), { once: true })
          Promise.resolve(responders[vm]!(input)).then(resolve, reject)
        })
      },
      close: () => Promise.resolve()
    })
  })
  return { poller, clock, polls, responders }
}

// Guards against a starting node that serves requests with outdated lists, received from a control VM that has lost its quorum.
test('lists count as confirmed only after a control VM has confirmed them', async (t) => {
  const isolated: Responder = () => ({ change: full(3, 'old'), confirmed: false, reason: 'no quorum' })
  const { poller, clock, responders, polls } = createPoller([isolated, silent])
  t.is(poller.current(), undefined)
  await clock.advance(5000)
  t.false(poller.confirmed)
  t.is(poller.current()?.revision, 3)
  t.regex(poller.waitingFor(), /control VM [01] (can't confirm that its lists are current: no quorum|does not answer: no answer)/)
  t.deepEqual([...new Set(polls.map(({ vm }) => vm))], [0, 1])
  const changes: boolean[] = []
  poller.onChange(() => changes.push(poller.confirmed))
  responders[1] = ({ revision }) => revision < 5 ? { change: full(5, 'new'), confirmed: true } : new Promise(() => {})
  await clock.advance(3000)
  t.true(poller.confirmed)
  t.is(poller.current()?.revision, 5)
  t.deepEqual(changes, [false, true])
  await poller.stop()
})

// Guards against lists that revert to an older revision, when a control VM that has lost state confirms it.
test('the revision never decreases, even when an older one is confirmed', async (t) => {
  const { poller, clock, responders } = createPoller([() => ({ change: full(7, 'a'), confirmed: true }), never])
  await clock.advance(50)
  t.is(poller.current()?.revision, 7)
  for (const change of [full(6, 'b'), { kind: 'unchanged', revision: 6 }] as const) {
    responders[0] = () => ({ change, confirmed: true })
    await clock.advance(1000)
    t.is(poller.current()?.revision, 7)
    t.is(poller.current()?.lookup('a', 's', 'GET', '/').kind, 'unlistedSafe')
  }
  await poller.stop()
})

// Guards against a node that applies a delta made for other lists, detected by its digest, or that never receives an edit because the
// same delta is rejected again at each poll.
test('a delta that does not fit is replaced by the full document', async (t) => {
  const doc: ListsDocument = { revision: 1, lists: listsOf('a') }
  let pollCount = 0
  const { poller, clock, polls } = createPoller([({ revision }) => {
    if (++pollCount === 1) return { change: { kind: 'full', document: doc }, confirmed: true }
    if (revision === 1) return { change: delta(doc, listsOf('a', 'b'), 'another digest'), confirmed: true }
    return revision === -1 ? { change: full(2, 'a', 'b'), confirmed: true } : new Promise(() => {})
  }])
  await clock.advance(1000)
  t.deepEqual(polls.map(({ input }) => input.revision), [-1, 1, -1, 2])
  t.is(poller.current()?.lookup('b', 's', 'GET', '/').kind, 'unlistedSafe')
  await poller.stop()
})

// Guards against a delta that removes entries because it does not contain them.
test('deltas change only the entries that they contain', async (t) => {
  const doc: ListsDocument = { revision: 1, lists: listsOf('a', 'b') }
  const { poller, clock } = createPoller([({ revision }) => {
    if (revision === -1) return { change: { kind: 'full', document: doc }, confirmed: true }
    return revision === 1 ? { change: delta(doc, listsOf('b', 'c')), confirmed: true } : new Promise(() => {})
  }])
  await clock.advance(500)
  const kindOf = (name: string) => poller.current()?.lookup(name, 's', 'GET', '/').kind
  t.deepEqual(['a', 'b', 'c'].map(kindOf), ['customerUnknown', 'unlistedSafe', 'unlistedSafe'])
  await poller.stop()
})

// Guards against a node that keeps polling a failed control VM although others work, and against a busy loop when all of them fail.
test('after a failed poll the next control VM is polled, and failing rounds back off', async (t) => {
  const { poller, clock, polls } = createPoller([silent, silent, silent])
  await clock.advance(300)
  t.deepEqual(polls.slice(0, 3).map(({ vm }) => vm), [0, 1, 2])
  await clock.advance(60_000)
  // At 1.5 s per poll once the backoff has reached its limit, 60 s contain 40 polls.
  t.true(polls.length > 30 && polls.length < 60, String(polls.length))
  await poller.stop()
})

// Guards against an outage of the data path when the control VMs fail: a node that serves requests must keep its confirmed lists.
test('confirmed lists stay in effect while no control VM responds', async (t) => {
  const { poller, clock, responders } = createPoller([({ revision }) => revision === -1 ? { change: full(2, 'a'), confirmed: true } : Promise.reject(new Error('lost'))])
  await clock.advance(100)
  responders[0] = silent
  await clock.advance(600_000)
  t.true(poller.confirmed)
  t.is(poller.current()?.revision, 2)
  await poller.stop()
})

// Guards against a node that uses up its CPU because a control VM responds to polls without holding them.
test('responses without a hold do not cause a busy loop', async (t) => {
  const { poller, clock, polls } = createPoller([({ revision }) => ({ change: revision === -1 ? full(1, 'a') : { kind: 'unchanged', revision }, confirmed: true })])
  await clock.advance(1000)
  t.true(polls.length <= 12, String(polls.length))
  await poller.stop()
})
