import fc from 'fast-check'
import { commandsArbitrary, type Model } from './commands.js'
import type { PlantedFault } from './sim-register.js'
import { createWorld, type World } from './world.js'

export type FuzzOptions = {
  seed: number
  runs: number
  /** Path of a failure, to replay it. */
  path?: string | undefined
  /** Path within the commands, as a failure prints it. */
  replayPath?: string | undefined
  planted?: PlantedFault | undefined
  log: (line: string) => void
}

export type FuzzResult = {
  runs: number
  failed: number
  seed: number
  targetRuns: number
  /** Calls by what their callers were told. */
  told: Record<string, number>
  /** Where the failure is, for a replay. */
  path?: string | undefined
  replayPath?: string | undefined
  /** Equal for equal seeds; shows that a replay does the same. */
  fingerprint: string
}

// Longer than the latest message, the longest freeze and any deadline.
const SETTLE_MS = 9_000_000

async function settle (world: World) {
  world.register.heal()
  await world.advance(SETTLE_MS)
  const found = [...world.oracle.unanswered(), ...world.oracle.violations()]
  if (found.length > 0) throw new Error(found.join('; '))
}

/** Runs the stateful fuzzing; each run has a world of its own. */
export async function fuzz (options: FuzzOptions): Promise<FuzzResult> {
  const told: Record<string, number> = {}
  let targetRuns = 0
  const fingerprints: string[] = []
  const worlds = fc.record({ keyRetentionS: fc.constantFrom(60, 3600, 86_400), keyLimit: fc.constantFrom(1000, 1000, 1000, 2) })

  const property = fc.asyncProperty(worlds, commandsArbitrary(options.replayPath), async (worldOptions, cmds) => {
    const world = createWorld({ ...worldOptions, planted: options.planted })
    try {
      await fc.asyncModelRun(() => ({ model: {} as Model, real: world }), cmds)
      await settle(world)
    } finally {
      world.oracle.countTold(told)
      targetRuns += world.oracle.targetRuns()
      fingerprints.push(world.oracle.fingerprint())
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
    options.log(fc.defaultReportMessage(details) ?? 'failed without a report')
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
