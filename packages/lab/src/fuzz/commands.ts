import fc from 'fast-check'
import { ENTRIES, EXECUTORS, KEYS, type CallSpec, type SimFleet } from './sim-fleet.js'

/** Model of the stateful test. It is empty: the fleet's oracle compares the executions with the responses that callers received. */
export type Model = Record<string, never>
type Command = fc.AsyncCommand<Model, SimFleet>

// Simulated time that passes after each command other than `advance`; it makes calls overlap at different steps.
const COMMAND_MS = 3

function command (text: string, act: (fleet: SimFleet) => void, ms = COMMAND_MS): Command {
  return {
    check: () => true,
    toString: () => text,
    run: async (_model, fleet) => {
      act(fleet)
      await fleet.advance(ms)
      const violations = fleet.oracle.violations()
      if (violations.length > 0) throw new Error(violations.join('; '))
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

// The longest value models a suspended VM that resumes after its attempt tokens have expired (2 h).
const freezeMs = fc.constantFrom(50, 2000, 4000, 30_000, 7_300_000)

const call = callSpec.map((spec) => command(`call(${JSON.stringify(spec)})`, (fleet) => fleet.call(spec)))
const wait = fc.constantFrom(1, 10, 200, 1500, 10_000).map((ms) => command(`advance(${ms})`, () => {}, ms))

// Calls, passing time, and faults of nodes, links and the key register. Repeated entries are drawn more often.
const choices: Array<fc.Arbitrary<Command>> = [
  call, call, call, call, call, wait, wait, wait,
  callSpec.map((spec) => command(`callTwice(${JSON.stringify(spec)})`, (fleet) => {
    fleet.call(spec)
    fleet.call({ ...spec, entry: (spec.entry + 1) % ENTRIES, executor: (spec.executor + 1) % EXECUTORS, seed: spec.seed + 1 })
  })),
  fc.constantFrom(70_000, 3_600_000, 9_000_000, 90_000_000).map((ms) => command(`advanceFar(${ms})`, () => {}, ms)),
  executor.map((number) => command(`restartExecutor(${number})`, (fleet) => fleet.restartExecutor(number))),
  fc.record({ number: executor, ms: fc.constantFrom(100, 5000, 60_000) }).map(({ number, ms }) =>
    command(`killExecutor(${number}, ${ms})`, (fleet) => fleet.killExecutor(number, ms))),
  entry.map((number) => command(`restartEntry(${number})`, (fleet) => fleet.restartEntry(number))),
  fc.record({ number: executor, ms: freezeMs, clockStops: fc.boolean() }).map(({ number, ms, clockStops }) =>
    command(`freezeExecutor(${number}, ${ms}, ${clockStops})`, (fleet) => fleet.freezeExecutor(number, ms, clockStops))),
  fc.record({ number: entry, ms: freezeMs }).map(({ number, ms }) =>
    command(`freezeEntry(${number}, ${ms})`, (fleet) => fleet.freezeEntry(number, ms))),
  fc.record({ from: entry, to: executor }).map(({ from, to }) => command(`cutLink(${from}, ${to})`, (fleet) => fleet.cutLink(from, to))),
  fc.constantFrom(100, 2000, 20_000).map((ms) => command(`registerDown(${ms})`, (fleet) => fleet.register.stopFor(ms))),
  fc.constant(command('registerRestart()', (fleet) => fleet.register.restart())),
  fc.constantFrom(-30_000, 0, 30_000).map((ms) => command(`leaderChange(${ms})`, (fleet) => fleet.register.changeLeader(ms))),
  fc.boolean().map((on) => command(`messageFaults(${on})`, (fleet) => fleet.register.setMessageFaults(on)))
]

/** Generates command sequences; `replayPath` reproduces a shrunk counterexample. */
export function commandsArbitrary (replayPath?: string) {
  return fc.commands<Model, SimFleet, false>(choices, { maxCommands: 40, size: 'max', ...(replayPath === undefined ? {} : { replayPath }) })
}
