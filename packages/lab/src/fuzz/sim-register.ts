import { isDeepStrictEqual } from 'node:util'
import { okAsync, ResultAsync, type Result, err, ok } from 'neverthrow'
import { createKeyRegister, createKeyStateMachine, type KeyCommand, type KeyReply, type KeyStateMachine } from '@orioleslip/control'
import {
  keyInputs, runFromWire, runToWire, type CancelResult, type ClaimResult, type Random, type RegisterError,
  type ReplicatedLog
} from '@orioleslip/core'
import type { ControlCall } from '@orioleslip/node'
import type { Oracle } from './oracle.js'
import type { SimClock } from './sim-clock.js'
import type { SimProcess } from './sim-process.js'

/** Defects that can be switched on in the harness, to verify that the fuzzer detects them; the product has no such switch. */
export type InjectedDefect =
  | 'dispatch-without-claim' | 'not-run-without-cancel' | 'cancel-without-fence' | 'release-after-dispatch' | 'lossy-restart'

/** Settings of the key register, and the defect that is switched on in the harness, if any. */
export type SimRegisterOptions = { keyRetentionS: number, keyLimit: number, injectedDefect?: InjectedDefect | undefined }

// Room for two recorded responses of the simulated targets, so that the drop of a response occurs.
const MACHINE_LIMITS = { answerVolumeBytes: 110, fences: 20, indexSize: 64 }
const CLIENT_TIMEOUT_MS = 1000
const LATE_DELIVERY_MS = [200, 2000, 20_000, 7_300_000]

type Procedure = 'claim' | 'finish' | 'release' | 'cancel'
const cloneJson = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T
const toWire = (result: ClaimResult | CancelResult) =>
  result.kind === 'finished' ? { kind: result.kind, run: runToWire(result.run) } : result

/** Creates the key register: the product's state machine and the leader's register API behind a simulated network. */
export function createSimRegister (sim: SimClock, oracle: Oracle, options: SimRegisterOptions) {
  const { keyRetentionS, keyLimit, injectedDefect } = options
  let machine: KeyStateMachine = createKeyStateMachine(MACHINE_LIMITS)
  // The state machine from before the last restart keeps running as a second replica; the replies of both must be equal.
  let oldReplica: KeyStateMachine | undefined
  let index = 0
  let leaderSkewMs = 0
  let downUntilMs = 0
  let messageFaults = false

  const log: ReplicatedLog<KeyCommand, KeyReply> = {
    propose: (cmd) => {
      index++
      const reply = cloneJson(machine.apply(index, cloneJson(cmd)))
      if (oldReplica !== undefined && !isDeepStrictEqual(cloneJson(oldReplica.apply(index, cloneJson(cmd))), reply)) oracle.addViolation(`replicas differ on ${cmd.type}`)
      return okAsync(reply)
    },
    confirmCurrent: () => okAsync(undefined),
    confirmLeased: () => okAsync(undefined),
    status: () => { throw new Error('not simulated') },
    onApplied: () => () => {},
    close: async () => {}
  }
  const register = createKeyRegister(log, {
    clock: { ...sim, wallMs: () => sim.wallMs() + leaderSkewMs },
    keyRetentionS,
    keyLimit
  })

  function handle (procedure: Procedure, raw: unknown): ResultAsync<unknown, RegisterError> {
    switch (procedure) {
      case 'claim': return register.claim(keyInputs.claim.parse(raw)).map(toWire)
      case 'finish': {
        const { customer, key, token, run } = keyInputs.finish.parse(raw)
        return register.finish({ customer, key }, token, runFromWire(run)).map(() => null)
      }
      case 'release': {
        const { customer, key, token } = keyInputs.release.parse(raw)
        return register.release({ customer, key }, token).map(() => null)
      }
      case 'cancel': {
        const { customer, key, token } = keyInputs.cancel.parse(raw)
        if (injectedDefect === 'cancel-without-fence') return okAsync({ kind: 'cancelled' })
        return register.cancel({ customer, key }, token).map(toWire)
      }
    }
  }

  const lost = (message: string): Result<unknown, RegisterError> => err({ kind: 'unavailable', outcome: 'unknown', message })
  const refused = (): Result<unknown, RegisterError> => err({ kind: 'unavailable', outcome: 'not-applied', message: 'no leader' })
  const isDown = () => sim.nowMs() < downUntilMs

  async function deliver (procedure: Procedure, input: unknown, random: Random): Promise<Result<unknown, RegisterError>> {
    const delayMs = LATE_DELIVERY_MS[random.int(LATE_DELIVERY_MS.length)]!
    const applyLater = () => sim.sleep(delayMs).then(async () => { if (!isDown()) await handle(procedure, input) })
    const fault = messageFaults ? random.int(14) : 14
    await sim.sleep(2 + random.int(8))
    if (isDown() || fault === 0) return refused()
    if (fault === 1) return await sim.sleep(CLIENT_TIMEOUT_MS).then(() => lost('the request was lost'))
    if (fault === 2) {
      applyLater()
      return await sim.sleep(CLIENT_TIMEOUT_MS).then(() => lost('the request is late'))
    }
    if (fault === 3) applyLater()
    const reply = await handle(procedure, input)
    if (fault === 4) return await sim.sleep(CLIENT_TIMEOUT_MS).then(() => lost('the reply was lost'))
    if (fault === 5) return await new Promise<never>(() => {})
    if (fault === 6) await sim.sleep(delayMs)
    await sim.sleep(2 + random.int(8))
    return reply.isOk() ? ok(cloneJson(reply.value)) : reply
  }

  return {
    /** Calls from a node to the register; the faults of a message are drawn from the random numbers of the call that it belongs to. */
    callFrom: (process: SimProcess, randomOf: (token: string) => Random): ControlCall => (procedure, raw) => {
      const input = cloneJson(raw) as { token: string }
      return new ResultAsync(process.enter(deliver(procedure.replace('keys.', '') as Procedure, input, randomOf(input.token))))
    },
    restart: () => {
      const state = cloneJson(machine.snapshot())
      if (injectedDefect !== 'lossy-restart') oldReplica = machine
      machine = createKeyStateMachine(MACHINE_LIMITS)
      if (injectedDefect !== 'lossy-restart') machine.restore(state)
    },
    changeLeader: (skewMs: number) => { leaderSkewMs = skewMs },
    stopFor: (ms: number) => { downUntilMs = Math.max(downUntilMs, sim.nowMs() + ms) },
    setMessageFaults: (on: boolean) => { messageFaults = on },
    heal: () => { [downUntilMs, messageFaults] = [0, false] }
  }
}
export type SimRegister = ReturnType<typeof createSimRegister>
