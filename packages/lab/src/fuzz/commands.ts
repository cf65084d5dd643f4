import fc from 'fast-check'
import { ENTRIES, EXECUTORS, KEYS, type CallSpec, type World } from './world.js'

/** The model has no state of its own: the oracle in the world compares what happened with what callers were told. */
export type Model = Record<string, never>
type Command = fc.AsyncCommand<Model, World>

// Time that passes with each command besides `advance`, so that calls overlap in different steps.
const STEP_MS = 3

function command (text: string, act: (world: World) => void, ms = STEP_MS): Command {
  return {
    check: () => true,
    toString: () => text,
    run: async (_model, world) => {
      act(world)
      await world.advance(ms)
      const found = world.oracle.violations()
      if (found.length > 0) throw new Error(found.join('; '))
    }
  }
}

const executor = fc.nat(EXECUTORS - 1)
const entry = fc.nat(ENTRIES - 1)

const callSpec: fc.Arbitrary<CallSpec> = fc.record({
  entry,
  executor,
  key: fc.nat(KEYS - 1),
  body: fc.constantFrom('a', 'a', 'a', 'b'),
  timeoutMs: fc.constantFrom(60, 500, 5000, 60_000),
  retry: fc.boolean(),
  seed: fc.nat()
})

// The longest is a suspended VM that wakes after the lifetime of its tokens.
const freezeMs = fc.constantFrom(50, 2000, 4000, 30_000, 7_300_000)

const call = callSpec.map((spec) => command(`call(${JSON.stringify(spec)})`, (world) => world.call(spec)))
const wait = fc.constantFrom(1, 10, 200, 1500, 10_000).map((ms) => command(`advance(${ms})`, () => {}, ms))

// Calls, time, and the faults of nodes, links and the register. Repeated entries are chosen more often.
const choices: Array<fc.Arbitrary<Command>> = [
  call, call, call, call, call, wait, wait, wait,
  callSpec.map((spec) => command(`callTwice(${JSON.stringify(spec)})`, (world) => {
    world.call(spec)
    world.call({ ...spec, entry: (spec.entry + 1) % ENTRIES, executor: (spec.executor + 1) % EXECUTORS, seed: spec.seed + 1 })
  })),
  fc.constantFrom(70_000, 3_600_000, 9_000_000, 90_000_000).map((ms) => command(`advanceFar(${ms})`, () => {}, ms)),
  executor.map((number) => command(`restartExecutor(${number})`, (world) => world.restartExecutor(number))),
  fc.record({ number: executor, ms: fc.constantFrom(100, 5000, 60_000) }).map(({ number, ms }) =>
    command(`killExecutor(${number}, ${ms})`, (world) => world.killExecutor(number, ms))),
  entry.map((number) => command(`restartEntry(${number})`, (world) => world.restartEntry(number))),
  fc.record({ number: executor, ms: freezeMs, clockStops: fc.boolean() }).map(({ number, ms, clockStops }) =>
    command(`freezeExecutor(${number}, ${ms}, ${clockStops})`, (world) => world.freezeExecutor(number, ms, clockStops))),
  fc.record({ number: entry, ms: freezeMs }).map(({ number, ms }) =>
    command(`freezeEntry(${number}, ${ms})`, (world) => world.freezeEntry(number, ms))),
  fc.record({ from: entry, to: executor }).map(({ from, to }) => command(`cutLink(${from}, ${to})`, (world) => world.cutLink(from, to))),
  fc.constantFrom(100, 2000, 20_000).map((ms) => command(`registerDown(${ms})`, (world) => world.register.down(ms))),
  fc.constant(command('registerRestart()', (world) => world.register.restart())),
  fc.constantFrom(-30_000, 0, 30_000).map((ms) => command(`leaderChange(${ms})`, (world) => world.register.changeLeader(ms))),
  fc.boolean().map((on) => command(`storm(${on})`, (world) => world.register.setStormy(on)))
]

/** Sequences of commands; `replayPath` repeats a shrunk failure. */
export function commandsArbitrary (replayPath?: string) {
  return fc.commands<Model, World, false>(choices, { maxCommands: 40, size: 'max', ...(replayPath === undefined ? {} : { replayPath }) })
}
