import test from 'ava'
import { createSilenceChecks } from './silence-checks.js'

const PERIOD_MS = 20
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms))

// Guards against a process that is woken once per period for each of its connections, also for those without open calls.
test('all checks run from one timer, which ends with the last check', async (t) => {
  const started: number[] = []
  const setIntervalBefore = globalThis.setInterval
  t.teardown(() => { globalThis.setInterval = setIntervalBefore })
  globalThis.setInterval = ((run: () => void, ms: number) => {
    started.push(ms)
    return setIntervalBefore(run, ms)
  }) as typeof setInterval
  const checks = createSilenceChecks(PERIOD_MS)
  const counts = [0, 0]
  const both = counts.map((_, i) => () => { counts[i]!++ })
  for (const check of both) checks.add(check)
  await pause(5 * PERIOD_MS)
  t.deepEqual(started, [PERIOD_MS])
  t.true(counts[0]! > 0)
  t.is(counts[0], counts[1])
  for (const check of both) checks.remove(check)
  const stopped = [...counts]
  await pause(3 * PERIOD_MS)
  t.deepEqual(counts, stopped)
  checks.add(both[0]!)
  await pause(5 * PERIOD_MS)
  t.true(counts[0]! > stopped[0]!)
  checks.remove(both[0]!)
})
