import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { createAvailability } from '../server/drain.js'
import { createLocalTarget, processIdOf, type Announcement } from './local-target.js'
import { createTargetLifecycle } from './target-lifecycle.js'

const announcement = (over: Partial<Announcement> = {}): Announcement => ({
  service: 'shop', port: 1, capacity: 10, state: 'ready', instance: 'i-1', startedMs: 5, sequence: 1, ...over
})

function createFixture () {
  const clock = createFakeClock()
  const published: string[] = []
  const target = createLocalTarget('127.0.0.1')
  const port = { isListening: false }
  const lifecycle = createTargetLifecycle({
    target,
    clock,
    availability: createAvailability(clock, 2000),
    watch: {
      announce: ({ state }) => { published.push(state) },
      leave: () => { published.push('leaving') },
      ended: () => { published.push('gone') }
    },
    isListening: () => Promise.resolve(port.isListening),
    isConfirmed: () => true,
    log: { debug: () => {}, info: () => {}, warn: () => {} }
  })
  lifecycle.announce(announcement())
  const respond = (leaving: boolean) => lifecycle.onNotices(target.current()!.announcement, { rateLimit: { kind: 'none' }, leaving })
  return { clock, target, lifecycle, published, respond, port }
}

// Guards against a target that gets calls after it has said in a response that it leaves, because its announcements still say ready.
test('a target that says in a response that it leaves is leaving, whatever it announces later', async (t) => {
  const { clock, lifecycle, published, respond } = createFixture()
  respond(false)
  t.deepEqual(published, ['ready'])
  respond(true)
  respond(true)
  t.false(lifecycle.announce(announcement({ sequence: 2 })))
  t.deepEqual(published, ['ready', 'leaving'])
  await clock.advance(1999)
  t.is(lifecycle.callRefusal({}), undefined)
  await clock.advance(1)
  t.like(lifecycle.callRefusal({}), { code: 'draining', outcome: 'not-run' })
})

// Guards against a target that has left and is used again after a restart of the node beside it, which has forgotten what the target said.
test('a restarted node learns from calls that its target process leaves, and refuses them at once', (t) => {
  const { lifecycle, published } = createFixture()
  t.is(lifecycle.callRefusal({ leavingProcess: processIdOf(announcement({ instance: 'i-0' })) }), undefined)
  t.like(lifecycle.callRefusal({ leavingProcess: processIdOf(announcement()) }), { code: 'draining', outcome: 'not-run' })
  t.deepEqual(published, ['ready', 'leaving'])
  t.truthy(lifecycle.callRefusal({}))
})

// Guards against calls to a target that has left, by nodes that have passed on its notice, when the node beside it restarted meanwhile and
// takes the first notice that it sees for a new one.
test('a target whose first response already says that it leaves gets no further calls', (t) => {
  const { lifecycle, published, respond } = createFixture()
  respond(true)
  t.deepEqual(published, ['ready', 'leaving'])
  t.like(lifecycle.callRefusal({}), { code: 'draining', outcome: 'not-run' })
})

// Guards against a target that is refused because another process at its address, or under its name, has left.
test('a process that replaces a leaving one is ready', (t) => {
  const { target, lifecycle, respond } = createFixture()
  respond(true)
  t.is(target.leavingProcess(), processIdOf(announcement()))
  t.true(lifecycle.announce(announcement({ startedMs: 6 })))
  t.is(target.leavingProcess(), undefined)
  t.is(lifecycle.callRefusal({ leavingProcess: processIdOf(announcement()) }), undefined)
})

// Guards against calls that are refused in the time in which a leaving target still gets calls, by nodes that know that it leaves.
test('a node that knows itself that its target leaves accepts calls until the drain time has passed', async (t) => {
  const { clock, lifecycle, respond } = createFixture()
  respond(false)
  respond(true)
  await clock.advance(1000)
  t.is(lifecycle.callRefusal({ leavingProcess: processIdOf(announcement()) }), undefined)
})

// Guards against calls sent for seconds to a target process that has ended, and against a late announcement of it that brings it back.
test('a process that has ended gets no calls until another one announces itself, or its port turns out to be open', async (t) => {
  const { clock, target, lifecycle, published, port } = createFixture()
  lifecycle.processEnded(announcement())
  t.is(target.current(), undefined)
  t.false(lifecycle.announce(announcement({ sequence: 2 })))
  await clock.advance(0)
  t.is(target.current(), undefined)
  t.deepEqual(published, ['ready', 'gone'])
  lifecycle.announce(announcement({ startedMs: 6, sequence: 1 }))
  t.is(target.current()?.announcement.startedMs, 6)
  t.deepEqual(published, ['ready', 'gone', 'ready'])

  lifecycle.processEnded(announcement())
  t.is(target.current()?.announcement.startedMs, 6, 'a report on an earlier process is ignored')
  lifecycle.processEnded(announcement({ startedMs: 6 }))
  port.isListening = true
  lifecycle.announce(announcement({ startedMs: 6, sequence: 2 }))
  await clock.advance(0)
  t.true(lifecycle.announce(announcement({ startedMs: 6, sequence: 3 })))
  t.is(target.current()?.announcement.sequence, 3)
})
