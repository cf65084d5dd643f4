import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import type { Announcement } from '../target/local-target.js'
import { createWithdrawals } from './withdrawals.js'

const announcement = (over: Partial<Announcement> = {}): Announcement => ({
  service: 'shop', port: 1, capacity: 10, state: 'ready', instance: 'i-1', startedMs: 5, sequence: 3, ...over
})

// Guards against a target that drains and is used again, and against one that can't be heard when it goes on to say that it drains.
test('of a target that drains, announcements from before are void, and later ones hold', (t) => {
  const withdrawals = createWithdrawals(createFakeClock())
  withdrawals.add({ instance: 'i-1', startedMs: 5, sequence: 3, ageMs: 0 })
  t.true(withdrawals.include(announcement()))
  t.true(withdrawals.include(announcement({ startedMs: 4, sequence: 9 })))
  t.false(withdrawals.include(announcement({ state: 'leaving' })))
  t.false(withdrawals.include(announcement({ sequence: 4 })))
  t.false(withdrawals.include(announcement({ startedMs: 6, sequence: 1 })))
  t.true(withdrawals.haveProcessOf(announcement({ sequence: 4 })))
  t.false(withdrawals.haveProcessOf(announcement({ startedMs: 6 })))
  withdrawals.add({ instance: 'i-1', startedMs: 5, ageMs: 0 })
  withdrawals.add({ instance: 'i-1', startedMs: 5, sequence: 3, ageMs: 0 })
  t.true(withdrawals.include(announcement({ sequence: 4 })))
})

test('the age of a withdrawal counts against the time for which it is remembered', async (t) => {
  const clock = createFakeClock()
  const withdrawals = createWithdrawals(clock)
  withdrawals.add({ instance: 'i-1', startedMs: 5, ageMs: 50_000 })
  await clock.advance(9999)
  t.true(withdrawals.include(announcement()))
  await clock.advance(1)
  t.false(withdrawals.include(announcement()))
})
