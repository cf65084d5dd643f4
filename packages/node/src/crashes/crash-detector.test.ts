import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import type { Announcement } from '../target/local-target.js'
import { createCrashDetector } from './crash-detector.js'

const processOf = (instance: string): Announcement => ({ service: 'shop', port: 1, capacity: 10, state: 'ready', instance })

function createFixture () {
  const clock = createFakeClock()
  const state: { port: 'listening' | 'refused' | 'unknown', probes: number } = { port: 'refused', probes: 0 }
  const crashes: Array<{ instance: string, fingerprints: number[] }> = []
  const detector = createCrashDetector({
    clock,
    host: '127.0.0.1',
    probe: () => {
      state.probes++
      return Promise.resolve(state.port)
    },
    onCrash: async ({ instance }, fingerprints) => { crashes.push({ instance, fingerprints }) }
  })
  const settle = async <T>(results: Array<Promise<T>>) => {
    await clock.advance(100)
    return await Promise.all(results)
  }
  return { detector, state, crashes, settle }
}

// Guards against a crash of which nobody learns which calls were running, and against one report for each of them.
test('a process that ends is reported once, with the calls that it was running', async (t) => {
  const { detector, crashes, state, settle } = createFixture()
  const calls = [1, 2, 3].map((fingerprint) => detector.started(fingerprint, processOf('i-1')))
  const completed = detector.started(4, processOf('i-1'))
  const other = detector.started(5, processOf('i-2'))
  completed.ended()
  t.deepEqual(await settle(calls.map((call) => call.lost())), [true, true, true])
  t.deepEqual(crashes, [{ instance: 'i-1', fingerprints: [1, 2, 3] }])
  t.is(state.probes, 1)
  other.ended()
})

// Guards against a reset or garbled connection that makes a request suspect: other calls of the process go on, or its port is open.
test('a lost connection to a process that goes on is no crash', async (t) => {
  const { detector, crashes, state, settle } = createFixture()
  const going = detector.started(1, processOf('i-1'))
  t.deepEqual(await settle([detector.started(2, processOf('i-1')).lost()]), [false])
  t.is(state.probes, 0)
  going.ended()
  for (const port of ['listening', 'unknown'] as const) {
    state.port = port
    t.deepEqual(await settle([detector.started(3, processOf('i-1')).lost()]), [false])
  }
  t.deepEqual(crashes, [])
  state.port = 'refused'
  t.deepEqual(await settle([detector.started(3, processOf('i-1')).lost()]), [true])
})
