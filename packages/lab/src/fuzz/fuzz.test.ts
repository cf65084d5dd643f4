import test from 'ava'
import { fuzz } from './fuzz.js'
import type { PlantedFault } from './sim-register.js'

const log = () => {}

// Guards against any violation of at-most-once in a combination of failures; longer runs: npm run fuzz.
test('no violation in 300 runs, and equal seeds do the same', async (t) => {
  const result = await fuzz({ seed: 11, runs: 300, log: (line) => t.log(line) })
  t.is(result.failed, 0)
  // Without these the runs would show little: each kind of verdict must occur.
  for (const told of ['complete', 'not-run target-lost', 'not-run register-unavailable', 'not-run deadline-exceeded', 'not-run key-reused',
    'unknown target-lost', 'unknown deadline-exceeded', 'unknown outcome-unknown', 'unknown key-in-progress', 'unknown key-expired',
    'unknown answer-dropped']) t.true((result.told[told] ?? 0) > 0, told)
  t.deepEqual(await fuzz({ seed: 11, runs: 300, log }), result)
})

// Guards against a fuzzer that finds nothing: each fault planted in the harness must be found, and its replay must fail as well.
const planted: PlantedFault[] = ['dispatch-without-claim', 'not-run-without-cancel', 'cancel-without-fence', 'release-after-dispatch', 'lossy-restart']
for (const fault of planted) {
  test(`finds the planted fault ${fault}`, async (t) => {
    const result = await fuzz({ seed: 1, runs: 500, planted: fault, log })
    t.is(result.failed, 1)
    const replay = await fuzz({ seed: 1, runs: 500, planted: fault, path: result.path, replayPath: result.replayPath, log })
    t.deepEqual([replay.failed, replay.runs], [1, 1])
  })
}
