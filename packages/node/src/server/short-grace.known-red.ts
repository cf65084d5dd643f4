import { createFakeClock } from '@orioleslip/core'
import test from 'ava'
import { pino } from 'pino'
import { createAvailability } from './drain.js'
import { createPlannedStop } from './planned-stop.js'

/** As in platform-settings.ts, in s. */
const STOP_DISSEMINATION_S = 3
const STOP_SHUTDOWN_S = 0.5

// Guards against a stop that is shortened by a constant, and takes requests from servers before the last sixth of a short grace.
test('the drain ends in the last sixth of the grace, whatever the grace and the delay of the signal', async (t) => {
  const endOf = async (graceS: number, signalDelayMs: number) => {
    const clock = createFakeClock()
    const startMs = clock.nowMs()
    const availability = createAvailability(clock)
    let endedMs = 0
    let open = 1
    availability.drainEnded.addEventListener('abort', () => { endedMs = clock.nowMs() - startMs })
    const stop = createPlannedStop({
      availability,
      members: { leave: () => Promise.resolve() } as never,
      openWork: { inbound: { size: () => 0 } as never, openRequests: () => open },
      announceLeaving: () => {},
      recordsWritten: () => Promise.resolve(),
      requestsEnded: () => Promise.resolve(),
      signalDelayMs: () => signalDelayMs,
      drainTimeoutS: Math.max(0, graceS - STOP_DISSEMINATION_S - STOP_SHUTDOWN_S),
      clock,
      log: pino({ level: 'silent' }),
      stop: () => Promise.resolve()
    })()
    await clock.advance(graceS * 2000)
    open = 0
    await stop
    return endedMs
  }
  const wrong: string[] = []
  for (const graceS of [3, 4, 5, 6, 10]) {
    for (const delayMs of [0, 200, 500]) {
      // `delayMs` is the longest possible delay; the signal may have been handled at once.
      const endMs = await endOf(graceS, delayMs)
      const isRight = endMs >= graceS * 5000 / 6 && endMs < graceS * 1000
      if (!isRight) wrong.push(`grace ${graceS} s, delay up to ${delayMs} ms: ${Math.round(endMs)} ms`)
    }
  }
  t.deepEqual(wrong, [])
})
