import test from 'ava'
import { createFakeClock, notRun, unknownOutcome, type Refusal, type Route } from '@orioleslip/core'
import type { FailedCall } from '../calls/forwarder.js'
import { createDestinationChooser } from './destinations.js'
import { createRepeatBudget } from './repeat-budget.js'
import { priorityOfRank } from './route-priority.js'
import { createRoutedRetries } from './routed-retries.js'

const budgetOf = (nodes: number, over = {}) => {
  const clock = createFakeClock()
  const settings = { ratio: 0.2, extra: 50, windowMs: 10_000, ...over }
  return { clock, budget: createRepeatBudget({ clock, settings, nodes: () => nodes }) }
}
const takeAll = (take: () => boolean) => {
  let taken = 0
  while (taken < 10_000 && take()) taken++
  return taken
}

// Guards against parts of the fleet's budget that add up to more than the whole.
test('the repeats of all nodes stay within the bound for any sharing of the calls', (t) => {
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

// Guards against a budget that fills up before its window has passed, or never.
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

// Guards against shares that are only right on average over long spans.
test('each span of requests is split in proportion to the weights', (t) => {
  const choose = createDestinationChooser()
  const route = routeOf(90, 10, 0)
  for (let span = 0; span < 5; span++) {
    const chosen = Array.from({ length: 20 }, () => choose(route))
    t.is(chosen.filter((service) => service === 's0').length, 18)
    t.is(chosen.filter((service) => service === 's1').length, 2)
  }
})

test('a higher rank gets a higher priority than every lower one', (t) => {
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

// Guards against a second run of what may run once, and against repeats beyond the route's attempts or the budget.
test('only calls that certainly did not run, or that may run again, go to another target', (t) => {
  const open = createRoutedRetries({ firstSent: () => {}, take: () => true }, () => 2)
  const spent = createRoutedRetries({ firstSent: () => {}, take: () => false }, () => 2)
  const lost = unknownOutcome('target-lost', '')
  const turnedAway = notRun('draining', '')
  t.false(open(failed(lost, { reachedTarget: true }, false)))
  t.true(open(failed(turnedAway, {}, false)))
  t.true(open(failed(lost, { reachedTarget: true })))
  t.false(spent(failed(lost, { reachedTarget: true })))
  t.true(spent(failed(turnedAway)))
  t.false(open(failed(lost, { reachedTarget: true, attempts: 2 })))
  t.false(open(failed(notRun('deadline-exceeded', ''))))
})
