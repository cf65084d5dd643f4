import test from 'ava'
import fc from 'fast-check'
import { createFakeClock, createSeededRandom } from '@orioleslip/core'
import { createEntryAdmission } from './entry-admission.js'

const OP = 'POST claims /claims'

function createEntry (seed = 1) {
  const clock = createFakeClock()
  return { clock, entry: createEntryAdmission({ clock, random: createSeededRandom(seed) }) }
}

// Guards against a claim that is refused while a browse request is admitted: a path level is an average of many responses and must
// never lead to a refusal of a priority at or above it.
test('after any sequence of path levels no priority at or above the level is refused', (t) => {
  const levelLists = fc.array(fc.integer({ min: 0, max: 192 }), { minLength: 1 })
  fc.assert(fc.property(levelLists, fc.integer({ min: 0, max: 255 }), (levels, priority) => {
    const { entry } = createEntry()
    levels.forEach((level) => { entry.recordPathLevel(OP, level) })
    const level = entry.level(OP)
    const refused = entry.check(OP, priority) !== undefined
    t.false(refused && priority >= level)
  }), { seed: 3 })
})

// Guards against an outage that never ends: responses carry the path level, and an operation whose requests are all refused gets none,
// so without probes its level would never fall.
test('recovery is noticed within 3 s when everything of an operation was refused', async (t) => {
  const { clock, entry } = createEntry()
  entry.recordPathLevel(OP, 192)
  let recoveredMs: number | undefined
  for (let ms = 0; ms < 3000 && recoveredMs === undefined; ms += 20) {
    // One request each 20 ms; a probe gets its response after 200 ms, with level 0 since the target has recovered.
    if (entry.check(OP, 130) === undefined) clock.sleep(200).then(() => { entry.recordPathLevel(OP, 0) }, t.fail)
    await clock.advance(20)
    if (entry.level(OP) < 130) recoveredMs = ms
  }
  t.not(recoveredMs, undefined)
})

// Guards against probes that overload the target by themselves because their number follows the demand, and against too few probes.
test('probes do not grow with the number of refused requests', async (t) => {
  const { clock, entry } = createEntry()
  let probes = 0
  for (let ms = 0; ms < 10_000; ms += 10) {
    entry.recordPathLevel(OP, 192)
    for (let i = 0; i < 100; i++) if (entry.check(OP, 10) === undefined) probes++
    await clock.advance(10)
  }
  t.true(probes >= 10 && probes <= 20, `${probes} probes of 100000 refused requests in 10 s`)
})

// Guards against clients that resend in the same second: equal Retry-After values would turn one overload into periodic ones.
test('Retry-After is randomized and refusals are reported as not run', (t) => {
  const { entry } = createEntry()
  entry.recordPathLevel(OP, 192)
  const refusals = Array.from({ length: 200 }, () => entry.check(OP, 10)).filter((refusal) => refusal !== undefined)
  t.deepEqual([...new Set(refusals.map((refusal) => refusal.retryAfterS))].sort(), [1, 2, 3, 4])
  t.true(refusals.every((refusal) => refusal.outcome === 'not-run' && refusal.code === 'overloaded'))
})

// Guards against rarely called operations that stay refused for minutes: they get few probes, although other operations of the same
// service already receive a lower path level.
test('operations without recent responses follow the other operations of their service', async (t) => {
  const { clock, entry } = createEntry()
  const rare = 'GET claims /rare'
  entry.recordPathLevel(rare, 64)
  entry.recordPathLevel(OP, 64)
  for (let i = 0; i < 30; i++) {
    await clock.advance(100)
    entry.recordPathLevel(OP, 64)
  }
  t.is(entry.level(rare), 64)
  for (let i = 0; i < 50; i++) {
    await clock.advance(100)
    entry.recordPathLevel(OP, 0)
  }
  t.is(entry.level(rare), 0)
})

// Guards against probes that add up to the whole demand: with hundreds of rarely called operations on each node, a probe rate per
// operation alone lets nearly every request through.
test('probes of many operations share one budget', async (t) => {
  const { clock, entry } = createEntry()
  const ops = Array.from({ length: 200 }, (_, i) => `GET claims /op${i}`)
  let probes = 0
  for (let second = 0; second < 10; second++) {
    for (const op of ops) {
      entry.recordPathLevel(op, 192)
      if (entry.check(op, 10) === undefined) probes++
      await clock.advance(5)
    }
  }
  t.true(probes <= 40, `${probes} probes of 2000 refused requests`)
})
