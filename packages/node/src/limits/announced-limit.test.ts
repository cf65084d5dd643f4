import test from 'ava'
import { createAnnouncedLimit } from './announced-limit.js'

// Guards against a burst at a target that is near its end: a process that has just started does not know what the target's responses name.
test('until the first response of a target only a few calls run at once', (t) => {
  const limit = createAnnouncedLimit()
  t.is(limit.limit(), 0)
  limit.targetStarted(100)
  t.is(limit.limit(), 4)
  limit.ended(limit.dispatched('op', false), { kind: 'failed', latencyMs: 1 })
  t.is(limit.limit(), 4)
  limit.ended(limit.dispatched('op', false), { kind: 'answered', latencyMs: 1 })
  t.is(limit.limit(), 100)
  limit.targetStarted(3)
  t.is(limit.limit(), 3)
})
