import fc from 'fast-check'
import { commandsArbitrary, type Model } from './commands.js'
import type { InjectedDefect } from './sim-register.js'
import { createSimFleet, type SimFleet } from './sim-fleet.js'

/** Parameters of a fuzzing run; `runs` is the number of command sequences. */
export type FuzzOptions = {
  seed: number
  runs: number
  /** Path of the counterexample to replay, as printed with a failure. */
  path?: string | undefined
  /** Path within the command sequence, as printed with a failure. */
  replayPath?: string | undefined
  injectedDefect?: InjectedDefect | undefined
  log: (line: string) => void
}

/** Result of a fuzzing run, as the tool prints it. */
export type FuzzResult = {
  runs: number
  failed: number
  seed: number
  targetRuns: number
  /** Number of calls by outcome: `complete`, or outcome and code of the refusal; `none` when the caller received nothing. */
  told: Record<string, number>
  /** Path of the counterexample, for a replay. */
  path?: string | undefined
  replayPath?: string | undefined
  /** Hash of the executions and outcomes of the last run; equal for equal seeds, so it shows whether a replay is exact. */
  fingerprint: string
}

// Longer than the longest message delay, the longest freeze and any deadline.
const SETTLE_MS = 9_000_000

async function settle (fleet: SimFleet) {
  fleet.register.heal()
  await fleet.advance(SETTLE_MS)
  const violations = [...fleet.oracle.callsWithoutOutcome(), ...fleet.oracle.violations()]
  if (violations.length > 0) throw new Error(violations.join('; '))
}

/** Runs the stateful fuzzing; each run has its own simulated fleet. */
export async function fuzz (options: FuzzOptions): Promise<FuzzResult> {
  const told: Record<string, number> = {}
  let targetRuns = 0
  const fingerprints: string[] = []
  const optionsArbitrary = fc.record({ keyRetentionS: fc.constantFrom(60, 3600, 86_400), keyLimit: fc.constantFrom(1000, 1000, 1000, 2) })

  const property = fc.asyncProperty(optionsArbitrary, commandsArbitrary(options.replayPath), async (fleetOptions, cmds) => {
    const fleet = createSimFleet({ ...fleetOptions, injectedDefect: options.injectedDefect })
    try {
      await fc.asyncModelRun(() => ({ model: {} as Model, real: fleet }), cmds)
      await settle(fleet)
    } finally {
      fleet.oracle.countOutcomes(told)
      targetRuns += fleet.oracle.targetRuns()
      fingerprints.push(fleet.oracle.fingerprint())
    }
  })
  const details = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    ...(options.path === undefined ? {} : { path: options.path })
  })
  const replayPath = /replayPath="([^"]*)"/.exec(String(details.counterexample?.[1]))?.[1]
  const path = details.counterexamplePath ?? undefined
  if (details.failed) {
    options.log(fc.defaultReportMessage(details) ?? 'the property failed, but fast-check returned no report')
    options.log(`replay: node packages/lab/dist/fuzz/main.js --seed ${options.seed} --runs ${options.runs} --path ${path ?? ''} --replay-path '${replayPath ?? ''}'`)
  }
  return {
    runs: details.numRuns,
    failed: details.failed ? 1 : 0,
    seed: options.seed,
    targetRuns,
    told,
    path,
    replayPath,
    fingerprint: fingerprints.at(-1) ?? ''
  }
}
