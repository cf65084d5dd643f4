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

// Guards against calls to a target that has crashed and so could not announce that it leaves.
test('a target that stops its announcements is published as gone, and as ready once it resumes them', async (t) => {
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

// Guards against a running target that is published as gone because this process itself did not run and could not receive announcements.
test('time in which the event loop of this process did not run is not counted', async (t) => {
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

// Guards against a planned stop that publishes a target as leaving, and so as existing, after it was published as gone.
test('a leaving target is published once, and not after it is gone', async (t) => {
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
