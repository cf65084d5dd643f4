import test from 'ava'
import { createFakeClock, createSeededRandom, notRun, unknownOutcome, type Refusal, type Route } from '@orioleslip/core'
import type { FailedCall } from '../calls/forwarder.js'
import { createDestinationChooser } from './destinations.js'
import { createRepeatBudget } from './repeat-budget.js'
import { priorityOfRank } from './route-priority.js'
import { createRoutedRetries } from './routed-retries.js'

const budgetOf = (nodes: number, over = {}, random = createSeededRandom(1)) => {
  const clock = createFakeClock()
  const settings = { ratio: 0.2, extra: 50, windowMs: 10_000, ...over }
  return { clock, budget: createRepeatBudget({ clock, random, settings, nodes: () => nodes }) }
}
const takeAll = (take: () => boolean) => {
  let taken = 0
  while (taken < 10_000 && take()) taken++
  return taken
}

// Guards against per-node budgets that add up to more than the fleet's budget, depending on how the calls are distributed over the nodes.
test('the repeats of all nodes stay within the bound for any distribution of the calls', (t) => {
  for (const shares of [[1000, 0, 0, 0], [250, 250, 250, 250], [1, 2, 3, 4]]) {
    const repeats = shares.map((calls) => {
      const { budget } = budgetOf(shares.length)
      for (let i = 0; i < calls; i++) budget.firstSent('s')
      return takeAll(() => budget.take('s'))
    })
    const total = shares.reduce((sum, calls) => sum + calls, 0)
    t.true(repeats.reduce((sum, taken) => sum + taken, 0) <= 0.2 * total + 50)
  }
})

// Guards against a budget that is replenished before its window has passed, or never, because expired slots are not dropped.
test('repeats are counted over a sliding window', async (t) => {
  const { clock, budget } = budgetOf(1, { extra: 0 })
  for (let i = 0; i < 100; i++) budget.firstSent('s')
  t.is(takeAll(() => budget.take('s')), 4)
  await clock.advance(5000)
  t.false(budget.take('s'))
  for (let i = 0; i < 100; i++) budget.firstSent('s')
  await clock.advance(6000)
  t.is(takeAll(() => budget.take('s')), 4)
})

// Guards against nodes that never repeat a call because the part of each is less than one repeat. Load pattern: hundreds of nodes that send
// a few calls per second each, some of which fail.
test('the parts of many nodes with little traffic add up to the share of the fleet', (t) => {
  const nodes = 200
  const random = createSeededRandom(1)
  let taken = 0
  for (let node = 0; node < nodes; node++) {
    const { budget } = budgetOf(nodes, { extra: 200 }, random)
    for (let i = 0; i < 10; i++) budget.firstSent('s')
    taken += takeAll(() => budget.take('s'))
  }
  const share = 0.2 * (0.2 * 10 * nodes + 200)
  t.true(taken > 0.8 * share && taken < 1.2 * share, `${taken} of ${share}`)
})

const routeOf = (...weights: number[]): Route => ({
  name: 'r',
  host: 'h',
  prefix: '/',
  repeat: 'safe',
  rank: 0,
  timeoutMs: 1,
  targetLatencyMs: 1,
  maxAttempts: 1,
  destinations: weights.map((weight, i) => ({ service: `s${i}`, weight }))
})

// Guards against a split that matches the weights only on average: a random choice can send long runs of requests to one service.
test('each run of 20 requests is split in proportion to the weights', (t) => {
  const choose = createDestinationChooser()
  const route = routeOf(90, 10, 0)
  for (let span = 0; span < 5; span++) {
    const chosen = Array.from({ length: 20 }, () => choose(route))
    t.is(chosen.filter((service) => service === 's0').length, 18)
    t.is(chosen.filter((service) => service === 's1').length, 2)
  }
})

// Guards against routes that are refused before less important ones, because the hash of a request id moves its priority out of the
// band of its rank. Rank 0 is the most important.
test('requests of a lower rank number have a higher priority than all requests of a higher one', (t) => {
  const ids = Array.from({ length: 50 }, (_, i) => `id-${i}`)
  for (const rank of [0, 1]) {
    const lowest = Math.min(...ids.map((id) => priorityOfRank(rank, id)))
    t.true(lowest > Math.max(...ids.map((id) => priorityOfRank(rank + 1, id))))
  }
})

const failed = (refusal: Refusal, over: Partial<FailedCall> = {}, repeatable = true) => ({
  req: {
    op: { repeatable },
    body: { kind: 'none' },
    deadline: { signal: new AbortController().signal, remainingMs: () => 1000 },
    opKey: 'r',
    service: 's'
  },
  refusal,
  attempts: 1,
  reachedTarget: false,
  ...over
}) as FailedCall

// Guards against a second run of a non-repeatable call after a lost response, and against retries beyond the route's attempts or budget.
test('only calls that certainly did not run, or that are repeatable, are retried at another target', (t) => {
  const withinBudget = createRoutedRetries({ firstSent: () => {}, take: () => true }, () => 2)
  const budgetUsedUp = createRoutedRetries({ firstSent: () => {}, take: () => false }, () => 2)
  const lost = unknownOutcome('target-lost', '')
  const refusedCall = notRun('draining', '')
  t.false(withinBudget(failed(lost, { reachedTarget: true }, false)))
  t.true(withinBudget(failed(refusedCall, {}, false)))
  t.true(withinBudget(failed(lost, { reachedTarget: true })))
  t.false(budgetUsedUp(failed(lost, { reachedTarget: true })))
  t.true(budgetUsedUp(failed(refusedCall)))
  t.false(withinBudget(failed(lost, { reachedTarget: true, attempts: 2 })))
  t.false(withinBudget(failed(notRun('deadline-exceeded', ''))))
})
