import test from 'ava'
import fc from 'fast-check'
import { createFakeClock, createSeededRandom } from '@orioleslip/core'
import { createEntryAdmission } from './entry-admission.js'

const OP = 'POST claims /claims'

function createEntry (seed = 1) {
  const clock = createFakeClock()
  return { clock, entry: createEntryAdmission({ clock, random: createSeededRandom(seed) }) }
}

// Guards against a claim refused at a level at which a browse request is admitted.
test('whatever was learnt, refusals never skip a lower priority', (t) => {
  const levelLists = fc.array(fc.integer({ min: 0, max: 192 }), { minLength: 1 })
  fc.assert(fc.property(levelLists, fc.integer({ min: 0, max: 255 }), (levels, priority) => {
    const { entry } = createEntry()
    levels.forEach((level) => { entry.learn(OP, level) })
    const level = entry.level(OP)
    const refused = entry.judge(OP, priority) !== undefined
    t.false(refused && priority >= level)
  }), { seed: 3 })
})

// Guards against an outage that lasts for ever because a fully refused operation never gets an answer again.
test('recovery is noticed within 3 s when everything of an operation was refused', async (t) => {
  const { clock, entry } = createEntry()
  entry.learn(OP, 192)
  let recoveredMs: number | undefined
  for (let ms = 0; ms < 3000 && recoveredMs === undefined; ms += 20) {
    // One request each 20 ms; a probe gets its answer after 200 ms, with level 0 since the target has recovered.
    if (entry.judge(OP, 130) === undefined) clock.sleep(200).then(() => { entry.learn(OP, 0) }, t.fail)
    await clock.advance(20)
    if (entry.level(OP) < 130) recoveredMs = ms
  }
  t.not(recoveredMs, undefined)
})

// Guards against probes that are themselves an overload, and against an operation without probes.
test('probes do not grow with the number of refused requests', async (t) => {
  const { clock, entry } = createEntry()
  let probes = 0
  for (let ms = 0; ms < 10_000; ms += 10) {
    entry.learn(OP, 192)
    for (let i = 0; i < 100; i++) if (entry.judge(OP, 10) === undefined) probes++
    await clock.advance(10)
  }
  t.true(probes >= 10 && probes <= 20, `${probes} probes of 100000 refused requests in 10 s`)
})

// Guards against clients that all come back in the same second.
test('Retry-After is spread and refusals are reported as not run', (t) => {
  const { entry } = createEntry()
  entry.learn(OP, 192)
  const refusals = Array.from({ length: 200 }, () => entry.judge(OP, 10)).filter((refusal) => refusal !== undefined)
  t.deepEqual([...new Set(refusals.map((refusal) => refusal.retryAfterS))].sort(), [1, 2, 3, 4])
  t.true(refusals.every((refusal) => refusal.outcome === 'not-run' && refusal.code === 'overloaded'))
})

// Guards against rarely called operations that stay refused for minutes, each waiting for a probe of its own.
test('operations without recent answers follow the other operations of their service', async (t) => {
  const { clock, entry } = createEntry()
  const rare = 'GET claims /rare'
  entry.learn(rare, 64)
  entry.learn(OP, 64)
  for (let i = 0; i < 30; i++) {
    await clock.advance(100)
    entry.learn(OP, 64)
  }
  t.is(entry.level(rare), 64)
  for (let i = 0; i < 50; i++) {
    await clock.advance(100)
    entry.learn(OP, 0)
  }
  t.is(entry.level(rare), 0)
})

// Guards against a fleet in which each node's probes of many rarely called operations add up to the whole demand.
test('probes of many operations share one budget', async (t) => {
  const { clock, entry } = createEntry()
  const ops = Array.from({ length: 200 }, (_, i) => `GET claims /op${i}`)
  let probes = 0
  for (let second = 0; second < 10; second++) {
    for (const op of ops) {
      entry.learn(op, 192)
      if (entry.judge(op, 10) === undefined) probes++
      await clock.advance(5)
    }
  }
  t.true(probes <= 40, `${probes} probes of 2000 refused requests`)
})
