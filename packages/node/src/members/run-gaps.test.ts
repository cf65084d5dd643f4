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

// Guards against a node that is not late and ends the calls of a planned stop early, since the usual interval counts as a delay.
test('a process is late by what exceeds its interval, also right after the call that was late', async (t) => {
  const clock = createFakeClock()
  const gaps = createRunGaps(clock)
  const lateAfter = async (ms: number) => {
    await clock.advance(ms)
    return gaps.lateMs(200)
  }
  t.is(await lateAfter(200), 0)
  gaps.ran()
  t.is(await lateAfter(10), 0)
  t.is(await lateAfter(690), 500)
  gaps.ran()
  t.is(await lateAfter(10), 500)
  t.is(await lateAfter(100), 0)
})
