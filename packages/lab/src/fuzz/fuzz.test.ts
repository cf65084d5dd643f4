import test from 'ava'
import { fuzz } from './fuzz.js'
import type { InjectedDefect } from './sim-register.js'

const log = () => {}

// Guards against a key that runs twice, or a call that runs after a `not-run` refusal, when crashes, freezes, lost messages and resends
// are combined at random. For longer runs use `npm run fuzz`.
test('300 runs have no violation, and equal seeds give equal results', async (t) => {
  const result = await fuzz({ seed: 11, runs: 300, log: (line) => t.log(line) })
  t.is(result.failed, 0)
  // Each kind of outcome must occur, since the runs would otherwise not cover it.
  for (const outcome of ['complete', 'not-run target-lost', 'not-run register-unavailable', 'not-run deadline-exceeded', 'not-run key-reused',
    'unknown target-lost', 'unknown deadline-exceeded', 'unknown outcome-unknown', 'unknown key-in-progress', 'unknown key-expired',
    'unknown answer-dropped']) t.true((result.told[outcome] ?? 0) > 0, outcome)
  t.deepEqual(await fuzz({ seed: 11, runs: 300, log }), result)
})

// Guards against a fuzzer that detects nothing because its commands or its oracle miss a kind of failure: each defect that is switched on
// in the harness must be found, and the replay of the counterexample must fail as well.
const injectedDefects: InjectedDefect[] = ['dispatch-without-claim', 'not-run-without-cancel', 'cancel-without-fence', 'release-after-dispatch', 'lossy-restart']
for (const defect of injectedDefects) {
  test(`finds the injected defect ${defect}`, async (t) => {
    const result = await fuzz({ seed: 1, runs: 500, injectedDefect: defect, log })
    t.is(result.failed, 1)
    const replay = await fuzz({ seed: 1, runs: 500, injectedDefect: defect, path: result.path, replayPath: result.replayPath, log })
    t.deepEqual([replay.failed, replay.runs], [1, 1])
  })
}
