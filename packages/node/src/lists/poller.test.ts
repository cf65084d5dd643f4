import test from 'ava'
import type { SinceAnswer, SinceInput } from '@orioleslip/control/client'
import { createFakeClock, diffLists, listsDigest, type ControlPeer, type Lists, type ListsDocument } from '@orioleslip/core'
import { pino } from 'pino'
import { createListsPoller } from './poller.js'

const listsOf = (...names: string[]): Lists => ({
  customers: Object.fromEntries(names.map((name) => [name, 'basic'])), plans: { basic: { ratePerSecond: 1, burst: 1, operations: [] } }
})
const full = (revision: number, ...names: string[]): SinceAnswer['change'] => ({ kind: 'full', document: { revision, lists: listsOf(...names) } })
const delta = (from: ListsDocument, lists: Lists, digest = listsDigest(lists)): SinceAnswer['change'] =>
  ({ kind: 'deltas', deltas: [{ from: from.revision, to: from.revision + 1, digest, changes: diffLists(from.lists, lists) }] })

type Answer = (input: SinceInput) => SinceAnswer | Promise<SinceAnswer>

const never: Answer = () => new Promise(() => {})
const silent: Answer = () => Promise.reject(new Error('no answer'))

/** A poller of the given control VMs, whose answers can be replaced while it runs. */
function createPoller (answers: Answer[]) {
  const clock = createFakeClock()
  const asked: Array<{ vm: number, input: SinceInput }> = []
  const controls = answers.map((_, i): ControlPeer =>
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
        asked.push({ vm, input })
        return new Promise((resolve, reject) => {
          signal.addEventListener('abort', () => reject(new Error('stopped')), { once: true })
          Promise.resolve(answers[vm]!(input)).then(resolve, reject)
        })
      },
      close: () => Promise.resolve()
    })
  })
  return { poller, clock, asked, answers }
}

// Guards against a starting node that serves with lists that nobody has confirmed.
test('lists count as confirmed only after a control VM has confirmed them', async (t) => {
  const isolated: Answer = () => ({ change: full(3, 'old'), confirmed: false, reason: 'no quorum' })
  const { poller, clock, answers, asked } = createPoller([isolated, silent])
  t.is(poller.current(), undefined)
  await clock.advance(5000)
  t.false(poller.confirmed)
  t.is(poller.current()?.revision, 3)
  t.regex(poller.waitingFor(), /control VM [01] (can't confirm that its lists are current: no quorum|does not answer: no answer)/)
  t.deepEqual([...new Set(asked.map(({ vm }) => vm))], [0, 1])
  const changes: boolean[] = []
  poller.onChange(() => changes.push(poller.confirmed))
  answers[1] = ({ revision }) => revision < 5 ? { change: full(5, 'new'), confirmed: true } : new Promise(() => {})
  await clock.advance(3000)
  t.true(poller.confirmed)
  t.is(poller.current()?.revision, 5)
  t.deepEqual(changes, [false, true])
  await poller.stop()
})

// Guards against lists that go back when a control VM with an older state answers.
test('the revision never decreases, whoever claims to be current', async (t) => {
  const { poller, clock, answers } = createPoller([() => ({ change: full(7, 'a'), confirmed: true }), never])
  await clock.advance(50)
  t.is(poller.current()?.revision, 7)
  for (const change of [full(6, 'b'), { kind: 'unchanged', revision: 6 }] as const) {
    answers[0] = () => ({ change, confirmed: true })
    await clock.advance(1000)
    t.is(poller.current()?.revision, 7)
    t.is(poller.current()?.lookup('a', 's', 'GET', '/').kind, 'unlistedSafe')
  }
  await poller.stop()
})

// Guards against a node that applies a wrong delta, or that stays without the edit because one did not fit.
test('a delta that does not fit is replaced by the full document', async (t) => {
  const doc: ListsDocument = { revision: 1, lists: listsOf('a') }
  let polls = 0
  const { poller, clock, asked } = createPoller([({ revision }) => {
    if (++polls === 1) return { change: { kind: 'full', document: doc }, confirmed: true }
    if (revision === 1) return { change: delta(doc, listsOf('a', 'b'), 'another digest'), confirmed: true }
    return revision === -1 ? { change: full(2, 'a', 'b'), confirmed: true } : new Promise(() => {})
  }])
  await clock.advance(1000)
  t.deepEqual(asked.map(({ input }) => input.revision), [-1, 1, -1, 2])
  t.is(poller.current()?.lookup('b', 's', 'GET', '/').kind, 'unlistedSafe')
  await poller.stop()
})

// Guards against a delta that drops the entries it does not mention.
test('deltas change only what they name', async (t) => {
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

// Guards against a node that stays with a failed control VM, and against polls in a loop when none works.
test('a failing control VM is left at once, and failing rounds slow down', async (t) => {
  const { poller, clock, asked } = createPoller([silent, silent, silent])
  await clock.advance(300)
  t.deepEqual(asked.slice(0, 3).map(({ vm }) => vm), [0, 1, 2])
  await clock.advance(60_000)
  // At 1.5 s per try once the back-off has reached its limit, 60 s hold 40 tries.
  t.true(asked.length > 30 && asked.length < 60, String(asked.length))
  await poller.stop()
})

// Guards against a partition that takes the confirmed lists away from a node that is serving.
test('confirmed lists stay in effect while no control VM answers', async (t) => {
  const { poller, clock, answers } = createPoller([({ revision }) => revision === -1 ? { change: full(2, 'a'), confirmed: true } : Promise.reject(new Error('lost'))])
  await clock.advance(100)
  answers[0] = silent
  await clock.advance(600_000)
  t.true(poller.confirmed)
  t.is(poller.current()?.revision, 2)
  await poller.stop()
})

// Guards against a node that fails when one control VM answers polls without holding them.
test('answers without a hold do not make a busy loop', async (t) => {
  const { poller, clock, asked } = createPoller([({ revision }) => ({ change: revision === -1 ? full(1, 'a') : { kind: 'unchanged', revision }, confirmed: true })])
  await clock.advance(1000)
  t.true(asked.length <= 12, String(asked.length))
  await poller.stop()
})
