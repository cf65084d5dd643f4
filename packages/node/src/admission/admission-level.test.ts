import test from 'ava'
import fc from 'fast-check'
import { createAdmissionLevel, MAX_LEVEL } from './admission-level.js'

const IDLE = { dispatched: 0, dropped: 0, queued: 0, utilization: 0, serviceMs: 10 }

/** Reports the arrivals of one window, distributed evenly over the priorities from `from` (inclusive) to `to` (exclusive). */
function arrive (level: ReturnType<typeof createAdmissionLevel>, count: number, from: number, to: number): void {
  for (let i = 0; i < count; i++) level.arrived(from + Math.floor(i * (to - from) / count))
}

// Guards against a level that refuses much more or much less than the excess load: at twice the capacity, with priorities 0 to 63
// arriving evenly, half of the arrivals must be refused, which is a level near 32.
test('with twice the load of a service the level settles near the middle of the arrivals', (t) => {
  const level = createAdmissionLevel()
  for (let i = 0; i < 10; i++) {
    arrive(level, 640, 0, 64)
    level.tick({ dispatched: 320, dropped: 320, queued: 20, utilization: 1, serviceMs: 10 }, 100)
  }
  t.true(level.level() > 28 && level.level() < 36, `${level.level()}`)
})

// Guards against claims that are refused everywhere while some entry nodes still admit browse requests: entry nodes receive a level
// at different times, so it may enter a band only after the arrivals of the bands below have nearly stopped.
test('the level enters a band only when the bands below it have all but stopped', (t) => {
  const windows = fc.array(fc.record({
    counts: fc.tuple(fc.nat(200), fc.nat(200), fc.nat(200)),
    dispatched: fc.nat(300),
    dropped: fc.nat(300),
    queued: fc.nat(100)
  }), { minLength: 1, maxLength: 30 })
  fc.assert(fc.property(windows, (list) => {
    const level = createAdmissionLevel()
    for (const { counts, ...window } of list) {
      const before = level.level()
      counts.forEach((count, band) => { arrive(level, count, band * 64, band * 64 + 64) })
      level.tick({ ...window, utilization: 1, serviceMs: 10 }, 100)
      const after = level.level()
      t.true(after >= 0 && after <= MAX_LEVEL)
      const all = counts[0] + counts[1] + counts[2]
      // Earlier windows are part of the histogram, so the 10% bound is checked only where a single window decides.
      if (after > 128 && after > before) t.true(counts[0] + counts[1] < Math.max(1, all))
      if (after > 64 && after > before && list.length === 1) t.true(counts[0] <= 0.1 * all)
      if (after > 128 && after > before && list.length === 1) t.true(counts[0] + counts[1] <= 0.1 * all)
    }
  }), { seed: 7, numRuns: 500 })
})

// Guards against an outage that outlasts its cause: without arrivals the level has no measurements to fall by and could stay high.
test('the level returns to 0 within 2 s when the load has gone', (t) => {
  const level = createAdmissionLevel()
  for (let i = 0; i < 20; i++) {
    arrive(level, 1000, 128, 192)
    level.tick({ dispatched: 100, dropped: 900, queued: 50, utilization: 1, serviceMs: 10 }, 100)
  }
  t.true(level.level() > 150)
  for (let i = 0; i < 20; i++) level.tick(IDLE, 100)
  t.is(level.level(), 0)
})

// Guards against a step down that causes the next overload: the priorities just below the level can be far more frequent than those
// above it, so a step of fixed size would admit many times the spare capacity.
test('the first falling steps add less than the spare capacity', (t) => {
  const level = createAdmissionLevel()
  const overload = { dispatched: 100, dropped: 6000, queued: 50, utilization: 1, serviceMs: 10 }
  for (let i = 0; i < 10; i++) {
    arrive(level, 6400, 0, 64)
    level.tick(overload, 100)
  }
  const steps: number[] = []
  for (let i = 0; i < 12 && steps.length < 3; i++) {
    const before = level.level()
    arrive(level, 50, 64, 192)
    level.tick({ dispatched: 50, dropped: 0, queued: 0, utilization: 0.5, serviceMs: 10 }, 100)
    if (level.level() < before) steps.push(before - level.level())
  }
  // 100 calls per level and window were offered; 50 per window are free, which is half a level.
  t.is(steps.length, 3)
  t.true(steps.reduce((sum, step) => sum + step) < 0.5, `steps of ${steps.join(' ')}`)
})
