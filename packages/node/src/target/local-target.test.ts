import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { createLocalTarget, type Announcement } from './local-target.js'

const announcement = (over: Partial<Announcement> = {}): Announcement => ({
  service: 'shop', port: 1, capacity: 10, state: 'ready', instance: 'i-1', startedMs: 5, ...over
})

// Guards against a rate limit that is forgotten when the target announces another capacity, or kept for another process at its address.
test('the listener is told whether the announced process is the same', (t) => {
  const target = createLocalTarget('127.0.0.1')
  const starts: Array<[number, boolean]> = []
  target.onStarted((capacity, sameProcess) => starts.push([capacity, sameProcess]))
  target.announce(announcement())
  target.announce(announcement())
  target.announce(announcement({ capacity: 20 }))
  target.announce(announcement({ port: 2, capacity: 20 }))
  target.announce(announcement({ startedMs: 6 }))
  target.announce(announcement({ startedMs: 6, instance: 'i-2' }))
  t.deepEqual(starts, [[10, false], [20, true], [20, true], [10, false], [10, false]])
})

/** Creates a target with a fake clock whose wall-clock time is that of its announcements plus `ageMs`. */
async function createAged (ageMs: number) {
  const clock = createFakeClock()
  await clock.advance(ageMs)
  return { clock, target: createLocalTarget('127.0.0.1', { clock }), startedMs: clock.wallMs() - ageMs }
}

// Guards against requests for a target that has left, when an announcement from before arrives after its withdrawal, at a node that has
// started meanwhile and had not heard of the target (review/9).
test('an announcement that arrives behind the withdrawal of its process is ignored, also when it is the first', async (t) => {
  const { clock, target, startedMs } = await createAged(10_000)
  t.false(target.withdraw('i-1'))
  await clock.advance(3000)
  t.false(target.announce(announcement({ startedMs, sequence: 7 })))
  t.is(target.current(), undefined)
  t.true(target.announce(announcement({ instance: 'i-2', startedMs: startedMs + 1 })))
})

// Guards against a target that is out of service because an earlier process with its instance name has withdrawn.
test('a process that starts after the withdrawal of its instance is taken into service', async (t) => {
  const { clock, target } = await createAged(10_000)
  target.withdraw('i-1')
  await clock.advance(3000)
  t.true(target.announce(announcement({ startedMs: clock.wallMs() - 2000 })))
  target.withdraw('i-1')
  t.true(target.announce(announcement({ startedMs: clock.wallMs() - 1000 })))
})

// Guards against a withdrawn target that takes the place of its successor, because its late announcement does not say when it started.
test('a late announcement of a withdrawn process does not replace another one', async (t) => {
  const { target } = await createAged(10_000)
  const { startedMs, ...unknownStart } = announcement()
  target.announce(unknownStart)
  target.withdraw('i-1')
  t.true(target.announce({ ...unknownStart, instance: 'i-2' }))
  t.false(target.announce({ ...unknownStart, sequence: 9 }))
  t.is(target.current()?.announcement.instance, 'i-2')
})

// Guards against an announcement of another writer that hides those of the target, as it doesn't say when its process started (review/14).
test('an announcement without a start does not replace one with a start, and is replaced by it', (t) => {
  const { startedMs, ...unknownStart } = announcement()
  for (const [first, second, isAccepted] of [
    [announcement({ sequence: 3 }), { ...unknownStart, sequence: 99 }, false],
    [{ ...unknownStart, sequence: 99 }, announcement({ sequence: 3, state: 'leaving' }), true]
  ] as const) {
    const target = createLocalTarget('127.0.0.1')
    t.true(target.announce(first))
    t.is(target.announce(second), isAccepted)
    t.is(target.current()?.announcement.startedMs, startedMs)
  }
})

// Guards against a memory that grows with each withdrawal, and against a target that stays out of service because a clock was wrong.
test('withdrawals are forgotten after a minute, and the oldest of many at once', async (t) => {
  const { clock, target, startedMs } = await createAged(10_000)
  for (let i = 0; i <= 64; i++) target.withdraw(`i-${i}`)
  t.true(target.announce(announcement({ instance: 'i-0', startedMs })))
  t.false(target.announce(announcement({ instance: 'i-1', startedMs: startedMs + 1 })))
  await clock.advance(60_000)
  t.true(target.announce(announcement({ instance: 'i-1', startedMs: startedMs + 1 })))
})
