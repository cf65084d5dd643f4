import test from 'ava'
import { createSchedule, type ScheduleOptions } from './schedule.js'

const options: ScheduleOptions = {
  seed: 7,
  phases: [{ name: 'low', perSecond: 50, seconds: 20 }, { name: 'none', perSecond: 0, seconds: 2 }, { name: 'high', perSecond: 500, seconds: 20 }],
  shares: [3, 1],
  customers: 4,
  entries: 6
}

// Guards against comparing product and baseline on different arrivals, which would happen if a schedule depended on more than its options.
test('equal options give equal arrivals and another seed gives others', (t) => {
  t.deepEqual(createSchedule(options), createSchedule(options))
  t.notDeepEqual(createSchedule(options), createSchedule({ ...options, seed: 8 }))
})

// Guards against a demand that differs from the scenario, because a phase has a wrong rate or its arrivals continue in the next phase.
test('each phase has its own rate and only arrivals within its time', (t) => {
  const arrivals = createSchedule(options)
  const inPhase = (phase: number) => arrivals.filter((arrival) => arrival.phase === phase)
  t.is(inPhase(1).length, 0)
  // Four standard deviations of a Poisson count.
  t.true(Math.abs(inPhase(0).length - 1000) < 4 * Math.sqrt(1000))
  t.true(Math.abs(inPhase(2).length - 10_000) < 4 * Math.sqrt(10_000))
  t.true(inPhase(0).every(({ atMs }) => atMs >= 0 && atMs < 20_000))
  t.true(inPhase(2).every(({ atMs }) => atMs >= 22_000 && atMs < 42_000))
})

// Guards against arrivals at regular intervals, with which queues stay much shorter than with random arrivals.
test('gaps between arrivals vary like those of a Poisson process', (t) => {
  const times = createSchedule(options).filter((arrival) => arrival.phase === 2).map((arrival) => arrival.atMs)
  const gaps = times.slice(1).map((atMs, i) => atMs - times[i]!)
  const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length
  const deviation = Math.sqrt(gaps.reduce((sum, gap) => sum + (gap - mean) ** 2, 0) / gaps.length)
  t.true(Math.abs(deviation / mean - 1) < 0.1)
})

// Guards against results that are looked up under a wrong id, and against operations, customers or entry nodes that are drawn too rarely
// or never.
test('ids are consecutive, operations occur by their shares, and all customers and entries occur', (t) => {
  const arrivals = createSchedule(options)
  t.true(arrivals.every((arrival, i) => arrival.id === i && (i === 0 || arrival.atMs >= arrivals[i - 1]!.atMs)))
  const first = arrivals.filter((arrival) => arrival.operation === 0).length / arrivals.length
  t.true(Math.abs(first - 0.75) < 0.03)
  t.is(new Set(arrivals.map((arrival) => arrival.customer)).size, 4)
  t.is(new Set(arrivals.map((arrival) => arrival.entry)).size, 6)
})
