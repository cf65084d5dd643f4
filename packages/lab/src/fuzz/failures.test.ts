import test from 'ava'
import { err, okAsync, ResultAsync } from 'neverthrow'
import { createKeyRegister, createKeyStateMachine, type KeyCommand, type KeyReply } from '@orioleslip/control'
import type { KeyRegister, RegisterError, ReplicatedLog } from '@orioleslip/core'
import {
  createIdempotencyGuard, createResponseRecorder, newAttemptToken, requestHashOf, resolveLostCall, type GuardDecision
} from '@orioleslip/node'
import { createSimClock } from './sim-clock.js'
import { createSimProcess, type SimProcess } from './sim-process.js'

type Fault = 'request lost' | 'reply lost' | 'refused'

/** The product's key register, guards and lost call resolution on a simulated clock; `faults` holds the fault of each register command. */
function setup (options: { keyLimit?: number, answerVolumeBytes?: number } = {}) {
  const sim = createSimClock(1_760_000_000_000)
  const { keyLimit = 1000, answerVolumeBytes = 1000 } = options
  const machine = createKeyStateMachine({ answerVolumeBytes, fences: 100, indexSize: 64 })
  const log: ReplicatedLog<KeyCommand, KeyReply> = {
    propose: (cmd) => okAsync(machine.apply(0, cmd)),
    confirmCurrent: () => okAsync(undefined),
    confirmLeased: () => okAsync(undefined),
    status: () => { throw new Error('not simulated') },
    onApplied: () => () => {},
    close: async () => {}
  }
  const leader = createKeyRegister(log, { clock: sim, keyRetentionS: 86_400, keyLimit })
  const faults: Partial<Record<keyof KeyRegister, Fault>> = {}

  type Command<T> = () => ResultAsync<T, RegisterError>
  function callRegister<T> (process: SimProcess, name: keyof KeyRegister, command: Command<T>): ResultAsync<T, RegisterError> {
    const send = async () => {
      await sim.sleep(5)
      const fault = faults[name]
      if (fault !== 'request lost' && fault !== 'refused') {
        const result = await command()
        await sim.sleep(5)
        if (fault === undefined) return result
      }
      const outcome: RegisterError['outcome'] = fault === 'refused' ? 'not-applied' : 'unknown'
      return err<T, RegisterError>({ kind: 'unavailable', outcome, message: `${fault}` })
    }
    return new ResultAsync(process.enter(send()))
  }

  function node (vmId: string) {
    const process = createSimProcess(sim, 0)
    const register: KeyRegister = {
      claim: (claim) => callRegister(process, 'claim', () => leader.claim(claim)),
      finish: (id, token, run) => callRegister(process, 'finish', () => leader.finish(id, token, run)),
      release: (id, token) => callRegister(process, 'release', () => leader.release(id, token)),
      cancel: (id, token) => callRegister(process, 'cancel', () => leader.cancel(id, token))
    }
    const guard = createIdempotencyGuard({ register, clock: process.clock, log: { warn: () => {} }, vmId })
    return { process, register, guard }
  }

  const call = (body = 'body', key = 'k') => ({
    customer: 'c',
    key,
    token: newAttemptToken(sim),
    opKey: 'POST claims /claims',
    requestHash: requestHashOf('POST', '/claims', Buffer.from(body)),
    deadlineMs: sim.nowMs() + 5000
  })

  /** Advances the clock until the promise resolves, by at most 10 s; undefined when it does not resolve. */
  async function settle<T> (promise: Promise<T>): Promise<T | undefined> {
    const values: T[] = []
    promise.then((value) => values.push(value))
    for (let i = 0; i < 1000 && values.length === 0; i++) await sim.advance(10)
    return values[0]
  }
  const entry = node('entry')
  const resolveLost = async (lostCall: ReturnType<typeof call>) => {
    const verdict = await settle(resolveLostCall({ register: entry.register, clock: sim }, { ...lostCall, code: 'target-lost' }))
    return verdict?.kind === 'replay' ? 'replay' : verdict?.refusal.outcome
  }
  return { sim, faults, node, call, settle, resolveLost, machine }
}

const summarize = (decision: GuardDecision | undefined) =>
  decision?.kind === 'refuse' ? `${decision.refusal.outcome} ${decision.refusal.code}` : decision?.kind

function recordedResponse (body: string) {
  const recorder = createResponseRecorder(201, [])
  recorder.add(Buffer.from(body))
  return recorder.done()
}

// Guards against two dispatches of one key when a caller's resend reaches another executor while the first claim is pending.
test('of two simultaneous claims of one key, one is dispatched and the other replays its response', async (t) => {
  const { node, call, settle } = setup()
  const [a, b] = [node('vm-a'), node('vm-b')]
  const [first, second] = [a.guard.begin(call()), b.guard.begin(call())]
  const granted = await settle(first)
  if (granted?.kind !== 'dispatch') return t.fail()
  granted.run.finished(recordedResponse('one'))
  const replayed = await settle(second)
  t.is(replayed?.kind === 'replay' ? Buffer.from(replayed.answer.body).toString() : '', 'one')
})

// Guards against reporting `not-run` for a dispatched call, and against a second dispatch by a resend, when the executor dies: while its
// claim is in transit, after the claim was granted, or before the request head reached it.
test('a call of a killed executor is unknown once a claim was sent, and not-run before', async (t) => {
  const { sim, node, call, settle, resolveLost } = setup()
  for (const [killAfterMs, verdict, resend] of [[2, 'unknown', 'unknown outcome-unknown'], [30, 'unknown', 'unknown outcome-unknown']] as const) {
    const executor = node('vm-a')
    const lostCall = call('body', `key-${killAfterMs}`)
    executor.guard.begin(lostCall)
    await sim.advance(killAfterMs)
    executor.process.kill()
    t.is(await resolveLost(lostCall), verdict)
    await sim.advance(3000)
    t.is(summarize(await settle(node('vm-b').guard.begin(call('body', `key-${killAfterMs}`)))), resend)
  }
  const unsent = call('body', 'never sent')
  t.is(await resolveLost(unsent), 'not-run')
  t.is(summarize(await settle(node('vm-b').guard.begin(call('body', 'never sent')))), 'dispatch')
})

// Guards against a dispatch after the caller received `not-run`: a frozen executor holds the request head in its buffers, and reads it
// only after the entry node has cancelled the token.
test('an executor that resumes after the cancel refuses the call as not-run', async (t) => {
  const { sim, node, call, settle, resolveLost } = setup()
  const executor = node('vm-a')
  const lostCall = call()
  executor.process.freeze(4000, true)
  const decision = executor.process.enter(Promise.resolve()).then(() => executor.guard.begin(lostCall))
  await sim.advance(3000)
  t.is(await resolveLost(lostCall), 'not-run')
  t.is(summarize(await settle(decision)), 'not-run target-lost')
})

// Guards against two dispatches, or a key that stays blocked, when the first executor releases its claim while two resends wait for it.
test('after a release, one of two waiting resends is dispatched', async (t) => {
  const { node, call, settle } = setup()
  const [a, b] = [node('vm-a'), node('vm-b')]
  const granted = await settle(a.guard.begin(call()))
  if (granted?.kind !== 'dispatch') return t.fail()
  const resend = b.guard.begin(call())
  const third = a.guard.begin(call())
  granted.run.notSent()
  const kinds = [summarize(await settle(resend)), summarize(await settle(third))].sort()
  t.deepEqual(kinds, ['dispatch', 'unknown key-in-progress'])
})

// Guards against a wrong outcome when a request to the register or its reply is lost, or the register refuses it, at one of the commands
// claim, cancel, finish and release.
test('outcomes are right when the register is unavailable at one step', async (t) => {
  for (const fault of ['request lost', 'reply lost', 'refused'] as const) {
    const { sim, faults, node, call, settle, resolveLost } = setup()
    const executor = node('vm-a')
    faults.claim = fault
    t.is(summarize(await settle(executor.guard.begin(call()))), 'not-run register-unavailable')
    delete faults.claim
    await settle(executor.guard.idle())
    const lostCall = call()
    const granted = await settle(executor.guard.begin(lostCall))
    if (granted?.kind !== 'dispatch') return t.fail()
    faults.cancel = fault
    t.is(await resolveLost(lostCall), 'unknown')
    delete faults.cancel
    faults.finish = fault
    granted.run.finished(recordedResponse('late'))
    await sim.advance(1000)
    // With a lost reply, the finish command was applied.
    t.is(await resolveLost({ ...lostCall, deadlineMs: sim.nowMs() + 500 }), fault === 'reply lost' ? 'replay' : 'unknown')
    delete faults.finish
    await settle(executor.guard.idle())
    t.is(summarize(await settle(node('vm-b').guard.begin(call()))), 'replay')
    faults.release = fault
    const other = await settle(executor.guard.begin(call('body', 'other')))
    if (other?.kind !== 'dispatch') return t.fail()
    other.run.notSent()
    await sim.advance(1000)
    delete faults.release
    await settle(executor.guard.idle())
    t.is(summarize(await settle(node('vm-b').guard.begin(call('body', 'other')))), 'dispatch')
  }
})

// Guards against replaying a response to a different request with the same key, and against a second run of a key whose stored response
// was dropped because newer ones exceeded the volume limit.
test('a reused key, a full register and a dropped response are refused', async (t) => {
  const { sim, node, call, settle } = setup({ keyLimit: 2, answerVolumeBytes: 60 })
  const { guard } = node('vm-a')
  for (const key of ['a', 'b']) {
    const granted = await settle(guard.begin(call('body', key)))
    if (granted?.kind !== 'dispatch') return t.fail()
    await settle(granted.run.finished(recordedResponse('x'.repeat(50))))
  }
  t.is(summarize(await settle(guard.begin(call('other', 'a')))), 'not-run key-reused')
  t.is(summarize(await settle(guard.begin(call('body', 'c')))), 'not-run register-unavailable')
  t.is(summarize(await settle(guard.begin(call('body', 'a')))), 'unknown answer-dropped')
  t.is(summarize(await settle(guard.begin(call('body', 'b')))), 'replay')
  await sim.advance(86_400_000)
  t.is(summarize(await settle(guard.begin(call('body', 'c')))), 'dispatch')
})
