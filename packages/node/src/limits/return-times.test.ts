import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { createReturnTimes } from './return-times.js'

// Guards against callers that were refused together and all return at the same moment.
test('callers refused together are told to return at the rate of the limit, after 1 to 5 s', async (t) => {
  const clock = createFakeClock()
  const next = createReturnTimes(clock)
  const times = Array.from({ length: 30 }, () => next(10))
  t.is(times[0], 1)
  t.true(Math.abs(times[29]! - 3.9) < 1e-6)
  t.is(Math.max(...Array.from({ length: 100 }, () => next(10))), 5)
  await clock.advance(60_000)
  t.is(next(10), 1)
})
