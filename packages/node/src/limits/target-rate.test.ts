import test from 'ava'
import fc from 'fast-check'
import { createFakeClock } from '@orioleslip/core'
import { createTargetRate } from './target-rate.js'

const STEP_MS = 10

/** Offers a call every 10 ms for `ms` and returns how many were sent. */
async function offer (rate: ReturnType<typeof createTargetRate>, clock: ReturnType<typeof createFakeClock>, ms: number): Promise<number> {
  let sent = 0
  for (let t = 0; t < ms; t += STEP_MS) {
    rate.arrived()
    if (rate.isOpen()) {
      rate.sent()
      sent++
    }
    await clock.advance(STEP_MS)
  }
  return sent
}

// Guards against a limit that is exceeded while it changes, after a pause, or because of calls that were not sent.
test('a target gets its rate, and in any 4 s at most a burst more', async (t) => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 0, max: 8000 }), async (perSecond, pauseMs) => {
    const clock = createFakeClock()
    const rate = createTargetRate(clock)
    rate.setLimit(perSecond)
    await clock.advance(pauseMs)
    const sent = await offer(rate, clock, 4000)
    t.true(sent <= perSecond * 4 + Math.max(1, perSecond / 4) + 1, `${sent} of ${perSecond}`)
    t.true(sent >= perSecond * 4 - 2, `${sent} of ${perSecond}`)
  }), { seed: 1, numRuns: 30 })
})

// Guards against a target that is never asked again because it once named zero, so that the end of its limit is not seen.
test('a target that names zero still gets a call every two seconds', async (t) => {
  const clock = createFakeClock()
  const rate = createTargetRate(clock)
  rate.setLimit(0)
  t.is(await offer(rate, clock, 1000), 0)
  t.is(await offer(rate, clock, 8000), 4)
})

// Guards against a flood at a target that raises, lowers or withdraws its limit again and again.
test('a repeated or changed limit does not hand out a new burst', async (t) => {
  const clock = createFakeClock()
  const rate = createTargetRate(clock)
  let sent = 0
  for (let i = 0; i < 40; i++) {
    rate.setLimit(i % 2 === 0 ? 20 : 10)
    sent += await offer(rate, clock, 100)
  }
  t.true(sent <= 65, `${sent}`)
  rate.setLimit(undefined)
  rate.setLimit(20)
  t.false(rate.isOpen())
})

// Guards against permits that are lost with calls whose caller left before they were sent.
test('a call that was not sent gives its permit back', async (t) => {
  const clock = createFakeClock()
  const rate = createTargetRate(clock)
  rate.setLimit(1)
  await clock.advance(1000)
  rate.sent()
  t.false(rate.isOpen())
  rate.notSent()
  t.true(rate.isOpen())
})

// Guards against other nodes that keep choosing a target although more calls arrive there than it accepts.
test('the reported load is the rate of arrivals as a share of the limit', async (t) => {
  const clock = createFakeClock()
  const rate = createTargetRate(clock)
  t.is(rate.load(), undefined)
  rate.setLimit(50)
  await offer(rate, clock, 5000)
  t.is(rate.load()?.perSecond, 50)
  t.true(Math.abs(rate.load()!.load - 2) < 0.1)
  await clock.advance(3000)
  t.true(rate.load()!.load < 0.15)
})
