import { createFakeClock } from '@orioleslip/core'
import test from 'ava'
import { createRunGaps } from './run-gaps.js'

test('the longest gap counts until it has ended before the given time', async (t) => {
  const clock = createFakeClock()
  const gaps = createRunGaps(clock)
  const startMs = clock.nowMs()
  for (const stepMs of [200, 3000, 200]) {
    await clock.advance(stepMs)
    gaps.ran()
  }
  t.is(gaps.longestMs(startMs), 3000)
  t.is(gaps.longestMs(startMs + 3300), 0)
})

// Guards against a suspension that is overlooked because what arrived meanwhile is handled before the timer that records it.
test('a gap counts before its end has been noted', async (t) => {
  const clock = createFakeClock()
  const gaps = createRunGaps(clock)
  const startMs = clock.nowMs()
  await clock.advance(2500)
  t.is(gaps.longestMs(startMs), 2500)
  t.is(gaps.sinceLastMs(), 2500)
})
