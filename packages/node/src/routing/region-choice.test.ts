import test from 'ava'
import { createFakeClock, createSeededRandom } from '@orioleslip/core'
import { createRegionChoice } from './region-choice.js'
import { createRegionLatencies } from './region-latencies.js'

const CALLS = 1000

function createFixture (meansMs: Record<string, number>) {
  const clock = createFakeClock()
  const latencies = createRegionLatencies(clock)
  for (const [region, ms] of Object.entries(meansMs)) latencies.add(region, 'op', ms)
  const choose = createRegionChoice({ self: () => 'home', latencies, random: createSeededRandom(1) })
  const shareLeaving = (availableMs: number, otherRegions = ['east', 'west'], opKey = 'op') => {
    const leaving: Record<string, number> = {}
    for (let i = 0; i < CALLS; i++) {
      const region = choose({ opKey, availableMs, otherRegions: () => otherRegions })
      if (region !== undefined) leaving[region] = (leaving[region] ?? 0) + 1 / CALLS
    }
    return leaving
  }
  return { clock, latencies, shareLeaving }
}

// Guards against a region with slow servers whose requests miss their time, and so fail the requests that called them, while the servers
// of other regions are faster and have free slots. Load pattern: a slow region beside fast ones, all below their limits.
test('a bounded share of the calls that are at risk in a slow region leaves for the fastest one', (t) => {
  const { shareLeaving } = createFixture({ home: 400, east: 150, west: 250 })
  const { east = 0, west = 0 } = shareLeaving(800)
  t.true(east > 0.4 && east <= 0.55, String(east))
  t.is(west, 0)
  t.true((shareLeaving(1400).east ?? 0) < east)
})

// Guards against inter-region traffic that no caller has a use for.
test('calls stay in their region while they have time, or while no other region is clearly faster', (t) => {
  const { shareLeaving } = createFixture({ home: 400, east: 150, west: 390 })
  t.deepEqual(shareLeaving(2000), {})
  t.deepEqual(shareLeaving(800, ['west']), {})
  t.deepEqual(shareLeaving(800, []), {})
  t.deepEqual(shareLeaving(800, ['east'], 'an operation without samples'), {})
})

// Guards against a fast region that is never used because no call has measured it, and against one that is used on old measurements.
test('a few calls at risk measure a region without recent samples', async (t) => {
  const { clock, latencies, shareLeaving } = createFixture({ home: 400 })
  const { east = 0, west = 0 } = shareLeaving(800)
  t.true(east + west > 0.005 && east + west < 0.04, String(east + west))
  latencies.add('east', 'op', 100)
  t.true((shareLeaving(800).east ?? 0) > 0.4)
  await clock.advance(31_000)
  latencies.add('home', 'op', 400)
  t.true((shareLeaving(800).east ?? 0) < 0.04)
})

// Guards against a region that seems fast because the calls given up there are not counted.
test('a call that was given up counts as having taken at least its time', (t) => {
  const { latencies } = createFixture({ east: 100 })
  for (let i = 0; i < 100; i++) latencies.addLowerBound('east', 'op', 700)
  t.true(latencies.meanMs('east', 'op')! > 600)
  latencies.addLowerBound('east', 'op', 5)
  t.true(latencies.meanMs('east', 'op')! > 600)
  for (let i = 0; i < 3; i++) latencies.add('west', 'op', 10 + i * 1e6)
  t.true(latencies.meanMs('west', 'op')! < 20)
})
