import { createFakeClock } from '@orioleslip/core'
import type { TargetRecord, TargetState } from '@orioleslip/core'
import test from 'ava'
import { createTargetWatch } from './target-watch.js'

function watched () {
  const clock = createFakeClock()
  const published: TargetState[] = []
  const log = { debug () {}, info () {}, warn () {} }
  const watch = createTargetWatch({ clock, log, publish: ({ state }) => { published.push(state) } })
  watch.start()
  const ready: TargetRecord = { service: 'claims', capacity: 55, state: 'ready' }
  return { clock, published, watch, ready }
}

// Guards against work for a target that died without a word.
test('a target that falls silent is published as gone, and as ready once it is back', async (t) => {
  const { clock, published, watch, ready } = watched()
  for (let i = 0; i < 5; i++) {
    watch.announce(ready)
    await clock.advance(1000)
  }
  t.deepEqual(published, ['ready'])
  await clock.advance(1800)
  t.deepEqual(published, ['ready'])
  await clock.advance(400)
  t.deepEqual(published, ['ready', 'gone'])
  watch.announce(ready)
  t.deepEqual(published, ['ready', 'gone', 'ready'])
  watch.stop()
})

// Guards against blaming the target for time in which this process itself did not run.
test('time in which the own event loop stood still does not count', async (t) => {
  const { clock, published, watch, ready } = watched()
  watch.announce(ready)
  await clock.advance(100)
  // The fake clock wakes a sleeper at its due time; a sleep that ends late is simulated by moving time between its start and end.
  const realNow = clock.nowMs
  clock.nowMs = () => realNow() + 60_000
  await clock.advance(200)
  t.deepEqual(published, ['ready'])
  await clock.advance(2200)
  t.deepEqual(published, ['ready'])
  await clock.advance(600)
  t.deepEqual(published, ['ready', 'gone'])
  watch.stop()
})

// Guards against a stop that brings a target back that is gone already.
test('a leaving target is published once, and one that is gone not again', async (t) => {
  const { clock, published, watch, ready } = watched()
  watch.leave()
  t.deepEqual(published, [])
  watch.announce(ready)
  watch.leave()
  watch.leave()
  t.deepEqual(published, ['ready', 'leaving'])
  await clock.advance(5000)
  watch.leave()
  t.deepEqual(published, ['ready', 'leaving', 'gone'])
  watch.stop()
})
