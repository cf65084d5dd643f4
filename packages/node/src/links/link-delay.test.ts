import { createFakeClock, type Clock } from '@orioleslip/core'
import test from 'ava'
import { createLinkDelay, createStampClock } from './link-delay.js'

/** Time by which the clock of the sender is ahead, in ms. */
const OFFSET_MS = 5_000_000
/** Pause between calls over which the fastest transfer of late is kept as it is, and one over which the clocks may drift apart, in ms. */
const KEPT_MS = 9000
const LONG_MS = 70_000

/** Creates a link whose messages take the given time from their stamp to the reading. */
function createLink () {
  const clock = createFakeClock(1000)
  const delay = createLinkDelay(clock)
  return {
    clock,
    transfer: async (ms: number) => {
      const sentMs = clock.nowMs() + OFFSET_MS
      await clock.advance(ms)
      return delay.waitedMs(sentMs)
    }
  }
}

// Guards against a wait that depends on the difference between the clocks, and against one that is longer than the time since the sending.
test('a wait is the time beyond the fastest transfer', async (t) => {
  const { transfer } = createLink()
  t.is(await transfer(900), 0)
  t.is(await transfer(20), 0)
  t.is(await transfer(1320), 1300)
  t.is(await transfer(20), 0)
})

// Guards against calls that are refused for ever because the clocks of two machines have drifted apart, or one of them has been set.
test('a fast transfer is forgotten after a while', async (t) => {
  const { clock, transfer } = createLink()
  await transfer(20)
  const waits: number[] = []
  for (let i = 0; i < 4; i++) {
    await clock.advance(KEPT_MS)
    waits.push(await transfer(320))
  }
  t.deepEqual(waits, [300, 300, 300, 0])
})

// Guards against calls that are refused because the clocks have drifted apart while no call was sent, and against late ones that count as
// fresh after such a pause.
test('a transfer before a long pause measures those after it, but for the drift that is possible', async (t) => {
  for (const [transferMs, waitMs] of [[110, 0], [1320, 1200]] as const) {
    const { clock, transfer } = createLink()
    await transfer(20)
    await clock.advance(LONG_MS - transferMs)
    t.is(Math.round(await transfer(transferMs)), waitMs)
  }
})

// Guards against a slow transfer after a pause that becomes the measure of all later ones.
test('clocks that have drifted apart further than they should are measured anew', async (t) => {
  const { clock, transfer } = createLink()
  await transfer(20)
  await clock.advance(LONG_MS)
  const waits: number[] = []
  for (let i = 0; i < 3; i++) {
    waits.push(await transfer(1320))
    await clock.advance(KEPT_MS)
  }
  t.true(waits[0]! > 1000)
  t.is(waits[2], 0)
})

/** Creates a clock whose monotonic and wall time the test moves. */
function createMachineClock () {
  let nowMs = 100
  let wallMs = 1_000_000
  const clock: Clock = { nowMs: () => nowMs, wallMs: () => wallMs, sleep: () => Promise.resolve() }
  return {
    clock,
    run: (ms: number) => {
      nowMs += ms
      wallMs += ms
    },
    suspend: (ms: number) => { wallMs += ms },
    setWall: (ms: number) => { wallMs += ms }
  }
}

// Guards against calls that seem to have waited for the time of a suspension of their sender, which its monotonic clock leaves out.
test('the clock of the stamps counts suspensions, and never runs back', (t) => {
  const { clock, run, suspend, setWall } = createMachineClock()
  const stampMs = createStampClock(clock)
  run(50)
  t.is(stampMs(), 150)
  run(50)
  suspend(3000)
  t.is(stampMs(), 3200)
  setWall(-8000)
  run(50)
  t.is(stampMs(), 3250)
})
