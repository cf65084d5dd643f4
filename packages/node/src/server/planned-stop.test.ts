import { createFakeClock } from '@orioleslip/core'
import test from 'ava'
import { pino } from 'pino'
import type { Members } from '../members/members.js'
import { createAvailability, LEAVE_DISSEMINATION_MS } from './drain.js'
import { createPlannedStop } from './planned-stop.js'

const DRAIN_S = 2
/** Interval in which a stop looks for open work, in ms. */
const POLL_MS = 20
/** Delay of the signal from which the stop is not shortened further, in ms. */
const MAX_DELAY_MS = 500

/** Stops a node with a request that never ends; returns the times of the recall and of the end of the drain, in ms. */
async function stopBusyNode (signalDelayMs: number) {
  const clock = createFakeClock()
  const availability = createAvailability(clock)
  let recalledMs = 0
  let endedMs = 0
  availability.recalled.addEventListener('abort', () => { recalledMs = clock.nowMs() })
  availability.drainEnded.addEventListener('abort', () => { endedMs = clock.nowMs() })
  let open = 1
  const stop = createPlannedStop({
    availability,
    members: { leave: () => Promise.resolve() } as Members,
    openWork: { inbound: { size: () => 0 } as never, openRequests: () => open },
    announceLeaving: () => {},
    recordsWritten: () => Promise.resolve(),
    requestsEnded: () => Promise.resolve(),
    signalDelayMs: () => signalDelayMs,
    drainTimeoutS: DRAIN_S,
    clock,
    log: pino({ level: 'silent' }),
    stop: () => Promise.resolve()
  })()
  await clock.advance(LEAVE_DISSEMINATION_MS + 2 * DRAIN_S * 1000)
  open = 0
  await stop
  return { recalledMs, endedMs }
}

// Guards against a stop that is counted from when a busy node handles its signal, and lasts longer than whoever sent the signal waits.
test('the drain of a planned stop ends earlier when its signal was handled late, as far as calls at their targets keep their time', async (t) => {
  const shortenedBy = (delayMs: number) => {
    const drainMs = DRAIN_S * 1000 - delayMs
    return { recalledMs: LEAVE_DISSEMINATION_MS + Math.ceil(drainMs / 2 / POLL_MS) * POLL_MS, endedMs: LEAVE_DISSEMINATION_MS + drainMs }
  }
  t.deepEqual(await stopBusyNode(0), shortenedBy(0))
  t.deepEqual(await stopBusyNode(300), shortenedBy(300))
  t.deepEqual(await stopBusyNode(4000), shortenedBy(MAX_DELAY_MS))
})
