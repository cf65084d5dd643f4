import test from 'ava'
import { recoveryMs, tallyPhases, timelineOf, type Timeline } from './accounting.js'
import type { RequestResult } from './client.js'
import { createSchedule, type Arrival } from './schedule.js'

const phases = [{ name: 'one', perSecond: 100, seconds: 4 }, { name: 'two', perSecond: 100, seconds: 4 }]
const arrivals = createSchedule({ seed: 3, phases, shares: [1, 1], customers: 1, entries: 1 })

function resultOf (arrival: Arrival, change: Partial<RequestResult> = {}): RequestResult {
  return { id: arrival.id, good: true, latencyMs: 0, tries: 1, code: 'ok', lagMs: 0, ...change }
}

// Guards against resends or late answers that count as goodput, and against failures that disappear.
test('a request counts once as goodput or once as a failure, whatever its tries', (t) => {
  const results = arrivals.map((arrival) => arrival.id % 4 === 0
    ? resultOf(arrival, { good: false, code: 'late', tries: 2 })
    : resultOf(arrival, { tries: 3 }))
  const [, two] = tallyPhases(arrivals, results, phases, ['a', 'b'], 0)
  const picked = arrivals.filter((arrival) => arrival.phase === 1)
  const late = picked.filter((arrival) => arrival.id % 4 === 0).length
  const tallies = Object.values(two!.operations)
  t.is(tallies.reduce((sum, tally) => sum + tally.arrivals, 0), picked.length)
  t.is(tallies.reduce((sum, tally) => sum + tally.good, 0), picked.length - late)
  t.is(tallies.reduce((sum, tally) => sum + (tally.failures['late'] ?? 0), 0), late)
  t.is(two!.goodputPerSecond, (picked.length - late) / 4)
})

// Guards against the transient at the start of a phase counting for its level.
test('the settling time is left out of counts and of the time they are divided by', (t) => {
  const results = arrivals.map((arrival) => resultOf(arrival, { good: arrival.atMs >= 1000, code: arrival.atMs >= 1000 ? 'ok' : 'overloaded' }))
  const [one] = tallyPhases(arrivals, results, phases, ['a', 'b'], 1)
  const picked = arrivals.filter((arrival) => arrival.phase === 0 && arrival.atMs >= 1000).length
  t.is(one!.seconds, 3)
  t.is(one!.goodputPerSecond, picked / 3)
})

// Guards against a slow answer that hides behind the fast ones.
test('latency percentiles come from the goodput of the operation', (t) => {
  const slowest = arrivals.find((arrival) => arrival.operation === 1 && arrival.phase === 0)!
  const results = arrivals.map((arrival) => resultOf(arrival, arrival === slowest ? { latencyMs: 900 } : {}))
  const [one] = tallyPhases(arrivals, results, phases, ['a', 'b'], 0)
  t.true(Math.abs(one!.operations['b']!.latency.maxMs - 900) < 1)
  t.true(one!.operations['a']!.latency.maxMs < 1)
})

// Guards against a peak above the capacity, by counting a backlog that is worked off after the phase.
test('goodput per second counts what came back during the phase', (t) => {
  const results = arrivals.map((arrival) => resultOf(arrival, arrival.phase === 0 ? { latencyMs: 4000 } : {}))
  const [one, two] = tallyPhases(arrivals, results, phases, ['a', 'b'], 0)
  t.is(one!.goodputPerSecond, 0)
  t.is(two!.goodputPerSecond, arrivals.length / 4)
})

test('the timeline keeps every arrival', (t) => {
  const line = timelineOf(arrivals, arrivals.map((arrival) => resultOf(arrival)), phases, 2, 250)
  t.is(line.arrivals.flat().reduce((sum, n) => sum + n, 0), arrivals.length)
  t.deepEqual(line.good, line.arrivals)
  t.is(line.good[0]!.length, 32)
})

/** A timeline with 10 arrivals in each interval, of which `good` become goodput. */
function lineOf (good: number[]): Timeline {
  return { bucketMs: 250, arrivals: [good.map(() => 10)], good: [good] }
}

const before = new Array<number>(16).fill(10)
const trigger = new Array<number>(16).fill(1)

// Guards against a recovery time that starts at the trigger instead of its end.
test('recovery is counted from the end of the trigger', (t) => {
  const line = lineOf([...before, ...trigger, ...new Array<number>(6).fill(2), ...new Array<number>(30).fill(10)])
  t.is(recoveryMs(line, [0, 4000], 8000), 1500)
})

// Guards against calling a run recovered for one good second, and against a recovery that never came.
test('a short return to the level is no recovery', (t) => {
  const brief = [...new Array<number>(4).fill(10), ...new Array<number>(30).fill(5)]
  t.is(recoveryMs(lineOf([...before, ...trigger, ...brief]), [0, 4000], 8000), undefined)
})
