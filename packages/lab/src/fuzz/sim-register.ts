import { isDeepStrictEqual } from 'node:util'
import { okAsync, ResultAsync, type Result, err, ok } from 'neverthrow'
import { createKeyMachine, createKeyRegister, type KeyCommand, type KeyMachine, type KeyReply } from '@orioleslip/control'
import {
  keyInputs, runFromWire, runToWire, type CancelResult, type ClaimResult, type Random, type RegisterError,
  type ReplicatedLog
} from '@orioleslip/core'
import type { ControlCall } from '@orioleslip/node'
import type { Oracle } from './oracle.js'
import type { SimClock } from './sim-clock.js'
import type { SimProcess } from './sim-process.js'

/** Faults planted to show that the fuzzer finds them; they live in the harness only. */
export type PlantedFault =
  | 'dispatch-without-claim' | 'not-run-without-cancel' | 'cancel-without-fence' | 'release-after-dispatch' | 'lossy-restart'

export type SimRegisterOptions = { keyRetentionS: number, keyLimit: number, planted?: PlantedFault | undefined }

// Two answers of the simulated targets fit.
const MACHINE_LIMITS = { answerVolumeBytes: 110, fences: 20, indexSize: 64 }
const CLIENT_TIMEOUT_MS = 1000
const LATE_MS = [200, 2000, 20_000, 7_300_000]

type Procedure = 'claim' | 'finish' | 'release' | 'cancel'
const copy = <T>(value: T): T => JSON.parse(JSON.stringify(value)) as T
const toWire = (result: ClaimResult | CancelResult) =>
  result.kind === 'finished' ? { kind: result.kind, run: runToWire(result.run) } : result

/** Creates the key register: the product's state machine and leader front behind a simulated network. */
export function createSimRegister (sim: SimClock, oracle: Oracle, options: SimRegisterOptions) {
  const { keyRetentionS, keyLimit, planted } = options
  let machine: KeyMachine = createKeyMachine(MACHINE_LIMITS)
  // The machine from before the last restart goes on as a second replica; its replies must be the same.
  let shadow: KeyMachine | undefined
  let index = 0
  let leaderSkewMs = 0
  let downUntilMs = 0
  let stormy = false

  const log: ReplicatedLog<KeyCommand, KeyReply> = {
    propose: (cmd) => {
      index++
      const reply = copy(machine.apply(index, copy(cmd)))
      if (shadow !== undefined && !isDeepStrictEqual(copy(shadow.apply(index, copy(cmd))), reply)) oracle.note(`replicas differ on ${cmd.type}`)
      return okAsync(reply)
    },
    confirmCurrent: () => okAsync(undefined),
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
        if (planted === 'cancel-without-fence') return okAsync({ kind: 'cancelled' })
        return register.cancel({ customer, key }, token).map(toWire)
      }
    }
  }

  const lost = (message: string): Result<unknown, RegisterError> => err({ kind: 'unavailable', outcome: 'unknown', message })
  const refused = (): Result<unknown, RegisterError> => err({ kind: 'unavailable', outcome: 'not-applied', message: 'no leader' })
  const isDown = () => sim.nowMs() < downUntilMs

  async function deliver (procedure: Procedure, input: unknown, random: Random): Promise<Result<unknown, RegisterError>> {
    const lateMs = LATE_MS[random.int(LATE_MS.length)]!
    const applyLater = () => sim.sleep(lateMs).then(async () => { if (!isDown()) await handle(procedure, input) })
    const fault = stormy ? random.int(14) : 14
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
    if (fault === 6) await sim.sleep(lateMs)
    await sim.sleep(2 + random.int(8))
    return reply.isOk() ? ok(copy(reply.value)) : reply
  }

  return {
    /** The nodes' way to the register; faults of a message follow the random numbers of the call that it belongs to. */
    callFrom: (process: SimProcess, randomOf: (token: string) => Random): ControlCall => (procedure, raw) => {
      const input = copy(raw) as { token: string }
      return new ResultAsync(process.enter(deliver(procedure.replace('keys.', '') as Procedure, input, randomOf(input.token))))
    },
    restart: () => {
      const state = copy(machine.snapshot())
      if (planted !== 'lossy-restart') shadow = machine
      machine = createKeyMachine(MACHINE_LIMITS)
      if (planted !== 'lossy-restart') machine.restore(state)
    },
    changeLeader: (skewMs: number) => { leaderSkewMs = skewMs },
    down: (ms: number) => { downUntilMs = Math.max(downUntilMs, sim.nowMs() + ms) },
    setStormy: (on: boolean) => { stormy = on },
    heal: () => { [downUntilMs, stormy] = [0, false] }
  }
}
export type SimRegister = ReturnType<typeof createSimRegister>
