import test from 'ava'
import { recoveryMs, tallyPhases, timelineOf, type Timeline } from './accounting.js'
import type { RequestResult } from './client.js'
import { createSchedule, type Arrival } from './schedule.js'

const phases = [{ name: 'one', perSecond: 100, seconds: 4 }, { name: 'two', perSecond: 100, seconds: 4 }]
const arrivals = createSchedule({ seed: 3, phases, shares: [1, 1], customers: 1, entries: 1 })

function resultOf (arrival: Arrival, change: Partial<RequestResult> = {}): RequestResult {
  return { id: arrival.id, good: true, latencyMs: 0, tries: 1, code: 'ok', lagMs: 0, ...change }
}

// Guards against counting resends or late responses as goodput, and against requests that are counted neither as goodput nor as failure.
test('a request counts once as goodput or once as a failure, whatever its tries', (t) => {
  const results = arrivals.map((arrival) => arrival.id % 4 === 0
    ? resultOf(arrival, { good: false, code: 'late', tries: 2 })
    : resultOf(arrival, { tries: 3 }))
  const [, two] = tallyPhases(arrivals, results, phases, ['a', 'b'], 0)
  const inPhase = arrivals.filter((arrival) => arrival.phase === 1)
  const late = inPhase.filter((arrival) => arrival.id % 4 === 0).length
  const tallies = Object.values(two!.operations)
  t.is(tallies.reduce((sum, tally) => sum + tally.arrivals, 0), inPhase.length)
  t.is(tallies.reduce((sum, tally) => sum + tally.good, 0), inPhase.length - late)
  t.is(tallies.reduce((sum, tally) => sum + (tally.failures['late'] ?? 0), 0), late)
  t.is(two!.goodputPerSecond, (inPhase.length - late) / 4)
})

// Guards against a phase's goodput that includes the transient after the change of load, or is divided by the full duration.
test('the settling time is excluded from the counts and from the duration', (t) => {
  const results = arrivals.map((arrival) => resultOf(arrival, { good: arrival.atMs >= 1000, code: arrival.atMs >= 1000 ? 'ok' : 'overloaded' }))
  const [one] = tallyPhases(arrivals, results, phases, ['a', 'b'], 1)
  const inPhase = arrivals.filter((arrival) => arrival.phase === 0 && arrival.atMs >= 1000).length
  t.is(one!.seconds, 3)
  t.is(one!.goodputPerSecond, inPhase / 3)
})

// Guards against a slow response of one operation that is hidden by the fast responses of the others, or that is counted for them,
// because the latencies of all operations are mixed.
test('latency percentiles are computed from the goodput of the operation', (t) => {
  const slowest = arrivals.find((arrival) => arrival.operation === 1 && arrival.phase === 0)!
  const results = arrivals.map((arrival) => resultOf(arrival, arrival === slowest ? { latencyMs: 900 } : {}))
  const [one] = tallyPhases(arrivals, results, phases, ['a', 'b'], 0)
  t.true(Math.abs(one!.operations['b']!.latency.maxMs - 900) < 1)
  t.true(one!.operations['a']!.latency.maxMs < 1)
})

// Guards against a goodput above the capacity, which results from counting a backlog of the phase that is processed after its end.
test('goodput per second counts requests that were completed during the phase', (t) => {
  const results = arrivals.map((arrival) => resultOf(arrival, arrival.phase === 0 ? { latencyMs: 4000 } : {}))
  const [one, two] = tallyPhases(arrivals, results, phases, ['a', 'b'], 0)
  t.is(one!.goodputPerSecond, 0)
  t.is(two!.goodputPerSecond, arrivals.length / 4)
})

// Guards against arrivals that are missing from the timeline because it has too few intervals or uses wrong indexes.
test('the timeline contains every arrival', (t) => {
  const timeline = timelineOf(arrivals, arrivals.map((arrival) => resultOf(arrival)), phases, 2, 250)
  t.is(timeline.arrivals.flat().reduce((sum, n) => sum + n, 0), arrivals.length)
  t.deepEqual(timeline.good, timeline.arrivals)
  t.is(timeline.good[0]!.length, 32)
})

/** A timeline with 10 arrivals in each interval, of which `good` become goodput. */
function timelineWith (good: number[]): Timeline {
  return { bucketMs: 250, arrivals: [good.map(() => 10)], good: [good] }
}

const before = new Array<number>(16).fill(10)
const trigger = new Array<number>(16).fill(1)

// Guards against a recovery time that includes the duration of the trigger, because it is measured from its start.
test('recovery time is measured from the end of the trigger', (t) => {
  const timeline = timelineWith([...before, ...trigger, ...new Array<number>(6).fill(2), ...new Array<number>(30).fill(10)])
  t.is(recoveryMs(timeline, [0, 4000], 8000), 1500)
})

// Guards against reporting a recovery when goodput reaches the old level for one second and drops again.
test('a short return to the level is not a recovery', (t) => {
  const brief = [...new Array<number>(4).fill(10), ...new Array<number>(30).fill(5)]
  t.is(recoveryMs(timelineWith([...before, ...trigger, ...brief]), [0, 4000], 8000), undefined)
})
