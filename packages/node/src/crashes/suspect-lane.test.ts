import test from 'ava'
import { createCanceller } from '@orioleslip/core'
import { createSuspectLane } from './suspect-lane.js'

const suspect = () => true
const never = createCanceller().signal

// Guards against a crash for which two suspect calls may be to blame.
test('suspect calls pass one at a time and in order', async (t) => {
  const lane = createSuspectLane()
  const passed: number[] = []
  const enter = async (n: number) => {
    const release = await lane.enter(suspect, never)
    passed.push(n)
    return release!
  }
  const first = await enter(1)
  const others = [enter(2), enter(3)]
  await Promise.resolve()
  t.deepEqual(passed, [1])
  first()
  first()
  const second = await others[0]!
  t.deepEqual(passed, [1, 2])
  second()
  await others[1]!
  t.deepEqual(passed, [1, 2, 3])
})

// Guards against a path that many callers ask for and that stays as slow as one call at a time after it was cleared.
test('calls that are no longer suspect pass at once, and hold up no other', async (t) => {
  const lane = createSuspectLane()
  let isSuspect = true
  const release = await lane.enter(suspect, never)
  const waiting = Array.from({ length: 5 }, () => lane.enter(() => isSuspect, never))
  const last = lane.enter(suspect, never)
  isSuspect = false
  lane.recheck()
  t.is((await Promise.all(waiting)).length, 5)
  release!()
  t.truthy(await last)
})

// Guards against calls that wait beyond their deadline or without a limit, and against a lane that stays busy after one has left it.
test('a cancelled call leaves the lane, and further ones than 64 are not admitted', async (t) => {
  const lane = createSuspectLane()
  const release = await lane.enter(suspect, never)
  const canceller = createCanceller()
  const cancelled = lane.enter(suspect, canceller.signal)
  canceller.abort()
  t.is(await cancelled, undefined)
  t.is(await lane.enter(suspect, canceller.signal), undefined)
  const waiting = Array.from({ length: 64 }, () => lane.enter(suspect, never))
  t.is(await lane.enter(suspect, never), undefined)
  release!()
  t.truthy(await waiting[0])
})
