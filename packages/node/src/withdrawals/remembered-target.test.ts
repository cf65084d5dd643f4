import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import type { Announcement } from '../target/local-target.js'
import { createRememberedTarget } from './remembered-target.js'
import type { Withdrawal } from './withdrawal.js'

/** Age of the target process when the node starts, in ms. */
const AGE_MS = 10_000

async function createFixture (known: Withdrawal[] = []) {
  const clock = createFakeClock()
  await clock.advance(AGE_MS)
  const announcement: Announcement = { service: 'shop', port: 1, capacity: 1, state: 'ready', instance: 'i-1', startedMs: clock.wallMs() - AGE_MS, sequence: 7 }
  const member = { isConfirmed: false, changed: () => {} }
  const events: unknown[] = []
  const copied: Withdrawal[] = []
  const target = createRememberedTarget({
    clock,
    target: { current: () => undefined },
    lifecycle: {
      announce: ({ state }) => {
        events.push(state)
        return true
      },
      withdraw: () => false,
      inherit: (withdrawals) => { events.push(withdrawals) }
    },
    copies: { copy: async (withdrawal) => { copied.push(withdrawal) }, read: async () => known },
    takeOver: async (service) => { events.push(`crashes of ${service}`) },
    members: {
      isConfirmed: () => member.isConfirmed,
      onChange: (listener) => {
        member.changed = listener
        return () => {}
      }
    }
  })
  const join = async () => {
    member.isConfirmed = true
    member.changed()
    await clock.advance(0)
  }
  return { clock, announcement, events, copied, target, join }
}

// Guards against a withdrawn target that is used again because its late announcement is applied before the node has asked the others.
test('an announcement of a process older than the node waits until the node has asked, and is applied then', async (t) => {
  const known = [{ instance: 'i-0', ageMs: 0 }]
  const { clock, announcement, events, target, join } = await createFixture(known)
  const reply = target.announce(announcement)
  await clock.advance(499)
  t.deepEqual(events, [])
  await clock.advance(1)
  t.false(await reply)
  await join()
  t.deepEqual(events, ['crashes of shop', known, 'ready'])
  t.true(await target.announce(announcement))
})

// Guards against a request that ends a target because the node does not know yet what ended others; the node accepts no calls before it
// is a confirmed member anyway.
test('an announcement of a process that has started since the node did waits for what is known of crashes only', async (t) => {
  const { clock, announcement, events, target, join } = await createFixture([{ instance: 'i-0', ageMs: 0 }])
  await clock.advance(100)
  const younger = { ...announcement, startedMs: clock.wallMs() - 50 }
  const reply = target.announce(younger)
  await clock.advance(0)
  t.deepEqual(events, [])
  await join()
  t.true(await reply)
  t.deepEqual(events, ['crashes of shop', 'ready'])
  t.true(await target.announce(younger))
})

// Guards against an ack for a target that leaves which binds before other nodes know of it.
test('an announcement that a target leaves, and a withdrawal, are applied at once and copied', async (t) => {
  const { announcement, events, copied, target } = await createFixture()
  const { startedMs } = announcement
  t.true(await target.announce({ ...announcement, state: 'leaving' }))
  t.false(await target.withdraw('i-2'))
  t.deepEqual(events, ['leaving'])
  t.deepEqual(copied, [{ instance: 'i-1', startedMs, sequence: 7, ageMs: 0 }, { instance: 'i-2', ageMs: 0 }])
})
