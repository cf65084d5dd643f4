import test from 'ava'
import fc from 'fast-check'
import { createFakeClock, createSeededRandom, notRun, unknownOutcome } from '@orioleslip/core'
import type { PeerAddress, RequestContext } from '@orioleslip/core'
import { createRetryRequester } from './request-retry.js'
import { mayRetry } from './may-retry.js'
import { BUDGET_CAPACITY, BUDGET_PER_REQUEST, createRetryLedger } from './retry-ledger.js'

const ENTRY: PeerAddress = { host: '127.0.0.1', port: 1 }

function createContext (requestId: string, customer = 'c1'): RequestContext {
  return { requestId, traceId: requestId, customer, entryOpKey: 'GET s /', priority: 0, ledger: ENTRY, region: 'r1' }
}

type Tree = { children: Tree[] }

/** Random call trees of at most 61 calls and a depth of at most 25. */
const trees = fc.array(fc.nat(), { minLength: 1, maxLength: 60 }).map((picks) => {
  const nodes: Array<Tree & { depth: number }> = [{ children: [], depth: 1 }]
  for (const pick of picks) {
    // Picking the parent among the three newest nodes makes deep trees as likely as broad ones.
    const parent = nodes[nodes.length - 1 - pick % Math.min(nodes.length, 3)]!
    if (parent.depth === 25) continue
    const node = { children: [], depth: parent.depth + 1 }
    parent.children.push(node)
    nodes.push(node)
  }
  return nodes[0] as Tree
})
const chain = (depth: number): Tree => ({ children: depth <= 1 ? [] : [chain(depth - 1)] })
const sizeOf = (tree: Tree): number => 1 + tree.children.reduce((sum, child) => sum + sizeOf(child), 0)

/** Runs a call and its children; a failed call is retried while `takeRetry` grants it. */
function run (tree: Tree, fails: () => boolean, takeRetry: () => boolean): { ok: boolean, dispatches: number } {
  let dispatches = 0
  for (;;) {
    dispatches++
    const results = tree.children.map((child) => run(child, fails, takeRetry))
    dispatches += results.reduce((sum, res) => sum + res.dispatches, 0)
    if (results.every((res) => res.ok) && !fails()) return { ok: true, dispatches }
    if (!takeRetry()) return { ok: false, dispatches }
  }
}

// Guards against retry storms: if every hop retried on its own, the dispatches would multiply along the chain and with the fan-out.
test('when every hop fails, a tree of calls is dispatched at most nodes + allowance times', (t) => {
  fc.assert(fc.property(fc.oneof(trees, fc.integer({ min: 1, max: 25 }).map(chain)), fc.integer({ min: 0, max: 5 }), (tree, allowance) => {
    const ledger = createRetryLedger({ clock: createFakeClock(), retryAllowance: allowance })
    ledger.open(createContext('r'), undefined)
    const { dispatches } = run(tree, () => true, () => ledger.take('r'))
    t.true(dispatches <= sizeOf(tree) + allowance, `${dispatches} dispatches of ${sizeOf(tree)} calls`)
  }), { seed: 4 })
  const ledger = createRetryLedger({ clock: createFakeClock(), retryAllowance: 2 })
  ledger.open(createContext('r'), undefined)
  t.is(run(chain(25), () => true, () => ledger.take('r')).dispatches, 27)
})

// Guards against retries beyond the allowance when a hop fails after its downstream calls have succeeded and its retry repeats them.
test('whichever hops fail, the grants of one request never exceed its allowance', (t) => {
  fc.assert(fc.property(trees, fc.integer(), fc.integer({ min: 0, max: 5 }), (tree, seed, allowance) => {
    const random = createSeededRandom(seed)
    const ledger = createRetryLedger({ clock: createFakeClock(), retryAllowance: allowance })
    ledger.open(createContext('r'), undefined)
    let grants = 0
    const { dispatches } = run(tree, () => random.next() < 0.4, () => {
      const granted = ledger.take('r')
      if (granted) grants++
      return granted
    })
    t.true(grants <= allowance && dispatches <= sizeOf(tree) * (1 + allowance))
  }), { seed: 5 })
})

// Guards against a customer whose retries keep a service overloaded, when each of its requests uses the full allowance.
test('a customer gets at most 10% more calls than requests, plus the bucket', (t) => {
  const ledger = createRetryLedger({ clock: createFakeClock(), retryAllowance: 2 })
  let granted = 0
  for (let i = 0; i < 5000; i++) {
    ledger.open(createContext(`r${i}`), undefined)
    while (ledger.take(`r${i}`)) granted++
    ledger.close(`r${i}`)
  }
  t.true(granted <= BUDGET_CAPACITY + 5000 * BUDGET_PER_REQUEST)
  ledger.open(createContext('other', 'c2'), undefined)
  t.true(ledger.take('other'))
})

// Guards against clients that get around the allowance by resending: each resend would otherwise start with a new one.
test('resends with the same key share the allowance for 60 s', async (t) => {
  const clock = createFakeClock()
  const ledger = createRetryLedger({ clock, retryAllowance: 1 })
  ledger.open(createContext('a'), 'key')
  t.true(ledger.take('a'))
  ledger.close('a')
  t.false(ledger.take('a'))
  ledger.open(createContext('b'), 'key')
  t.false(ledger.take('b'))
  ledger.open(createContext('other-customer', 'c2'), 'key')
  t.true(ledger.take('other-customer'))
  await clock.advance(60_000)
  ledger.open(createContext('c'), 'key')
  t.true(ledger.take('c'))
})

// Guards against a node that runs out of memory when requests are never closed, or that grants retries of evicted requests without a bound.
test('requests beyond the memory bound lose their retries', (t) => {
  const ledger = createRetryLedger({ clock: createFakeClock(), retryAllowance: 1 })
  for (let i = 0; i < 70_000; i++) ledger.open(createContext(`r${i}`), undefined)
  t.false(ledger.take('r0'))
  t.true(ledger.take('r69999'))
})

// Guards against calls that wait forever for a retry grant when their entry node has failed.
test('an unreachable ledger means no retry after a bounded wait', async (t) => {
  const clock = createFakeClock()
  const ledger = createRetryLedger({ clock, retryAllowance: 1 })
  const self = { host: '127.0.0.2', port: 2 }
  const requestRetry = (send: () => Promise<boolean | undefined>) =>
    createRetryRequester({ clock, self, ledger, send })(createContext('r'), 1000)
  t.true(await requestRetry(async () => true))
  t.false(await requestRetry(async () => { throw new Error('connection refused') }))
  const hanging = requestRetry(() => new Promise(() => {}))
  await clock.advance(100)
  t.false(await hanging)
  ledger.open(createContext('r'), undefined)
  const local = createRetryRequester({ clock, self: ENTRY, ledger, send: async () => false })
  t.true(await local(createContext('r'), 1000))
})

// Guards against second runs of non-repeatable calls whose outcome is unknown, and against retries that add to an overload.
test('only failures that another target may avoid are retried', (t) => {
  const base = { repeatable: true, remainingMs: 100, p50Ms: 10 }
  t.true(mayRetry({ ...base, refusal: unknownOutcome('target-lost', '') }))
  t.false(mayRetry({ ...base, repeatable: false, refusal: unknownOutcome('target-lost', '') }))
  t.true(mayRetry({ ...base, repeatable: false, refusal: notRun('target-lost', '') }))
  t.false(mayRetry({ ...base, refusal: notRun('overloaded', '') }))
  t.false(mayRetry({ ...base, remainingMs: 10, refusal: notRun('target-lost', '') }))
})
