import test from 'ava'
import { err, okAsync, ResultAsync } from 'neverthrow'
import { createKeyMachine, createKeyRegister, type KeyCommand, type KeyReply } from '@orioleslip/control'
import type { KeyRegister, RegisterError, ReplicatedLog } from '@orioleslip/core'
import { createAnswerRecorder, createOnceGuard, newAttemptToken, requestHashOf, resolveLostCall, type Beginning } from '@orioleslip/node'
import { createSimClock } from './sim-clock.js'
import { createSimProcess, type SimProcess } from './sim-process.js'

type Fault = 'request lost' | 'reply lost' | 'refused'

/** The product's register, guards and verdicts on a simulated clock; `fault` decides about each command by name. */
function setup (options: { keyLimit?: number, answerVolumeBytes?: number } = {}) {
  const sim = createSimClock(1_760_000_000_000)
  const { keyLimit = 1000, answerVolumeBytes = 1000 } = options
  const machine = createKeyMachine({ answerVolumeBytes, fences: 100, indexSize: 64 })
  const log: ReplicatedLog<KeyCommand, KeyReply> = {
    propose: (cmd) => okAsync(machine.apply(0, cmd)),
    confirmCurrent: () => okAsync(undefined),
    status: () => { throw new Error('not simulated') },
    onApplied: () => () => {},
    close: async () => {}
  }
  const leader = createKeyRegister(log, { clock: sim, keyRetentionS: 86_400, keyLimit })
  const faults: Partial<Record<keyof KeyRegister, Fault>> = {}

  type Command<T> = () => ResultAsync<T, RegisterError>
  function reach<T> (process: SimProcess, name: keyof KeyRegister, command: Command<T>): ResultAsync<T, RegisterError> {
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
      claim: (claim) => reach(process, 'claim', () => leader.claim(claim)),
      finish: (id, token, run) => reach(process, 'finish', () => leader.finish(id, token, run)),
      release: (id, token) => reach(process, 'release', () => leader.release(id, token)),
      cancel: (id, token) => reach(process, 'cancel', () => leader.cancel(id, token))
    }
    const guard = createOnceGuard({ register, clock: process.clock, log: { warn: () => {} }, vmId })
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

  /** Result of a promise after the time it needs, at most 10 s; undefined when it does not settle. */
  async function pass<T> (promise: Promise<T>): Promise<T | undefined> {
    const values: T[] = []
    promise.then((value) => values.push(value))
    for (let i = 0; i < 1000 && values.length === 0; i++) await sim.advance(10)
    return values[0]
  }
  const entry = node('entry')
  const lost = async (it: ReturnType<typeof call>) => {
    const verdict = await pass(resolveLostCall({ register: entry.register, clock: sim }, { ...it, code: 'target-lost' }))
    return verdict?.kind === 'replay' ? 'replay' : verdict?.refusal.outcome
  }
  return { sim, faults, node, call, pass, lost, machine }
}

const kind = (beginning: Beginning | undefined) =>
  beginning?.kind === 'refuse' ? `${beginning.refusal.outcome} ${beginning.refusal.code}` : beginning?.kind

function answer (body: string) {
  const recorder = createAnswerRecorder(201, [])
  recorder.add(Buffer.from(body))
  return recorder.done()
}

// Guards against two dispatches when a caller's resend reaches another executor at the same moment.
test('claims of one key at two executors at once', async (t) => {
  const { node, call, pass } = setup()
  const [a, b] = [node('vm-a'), node('vm-b')]
  const [first, second] = [a.guard.begin(call()), b.guard.begin(call())]
  const granted = await pass(first)
  if (granted?.kind !== 'dispatch') return t.fail()
  granted.run.finished(answer('one'))
  const replayed = await pass(second)
  t.is(replayed?.kind === 'replay' ? Buffer.from(replayed.answer.body).toString() : '', 'one')
})

// Guards against `not-run` of a dispatched call, and against a second dispatch by a resend, when the executor dies.
test('executor killed while its claim is on its way, after the grant, and before it got the head', async (t) => {
  const { sim, node, call, pass, lost } = setup()
  for (const [killAfterMs, verdict, resend] of [[2, 'unknown', 'unknown outcome-unknown'], [30, 'unknown', 'unknown outcome-unknown']] as const) {
    const executor = node('vm-a')
    const it = call('body', `key-${killAfterMs}`)
    executor.guard.begin(it)
    await sim.advance(killAfterMs)
    executor.process.kill()
    t.is(await lost(it), verdict)
    await sim.advance(3000)
    t.is(kind(await pass(node('vm-b').guard.begin(call('body', `key-${killAfterMs}`)))), resend)
  }
  const unsent = call('body', 'never sent')
  t.is(await lost(unsent), 'not-run')
  t.is(kind(await pass(node('vm-b').guard.begin(call('body', 'never sent')))), 'dispatch')
})

// Guards against a run after `not-run`: the executor was frozen with the head in its buffers.
test('a frozen executor wakes up after the cancel', async (t) => {
  const { sim, node, call, pass, lost } = setup()
  const executor = node('vm-a')
  const it = call()
  executor.process.freeze(4000, true)
  const beginning = executor.process.enter(Promise.resolve()).then(() => executor.guard.begin(it))
  await sim.advance(3000)
  t.is(await lost(it), 'not-run')
  t.is(kind(await pass(beginning)), 'not-run target-lost')
})

// Guards against a key that a release frees under a resend, or that stays blocked after it.
test('a release races with a resend', async (t) => {
  const { node, call, pass } = setup()
  const [a, b] = [node('vm-a'), node('vm-b')]
  const granted = await pass(a.guard.begin(call()))
  if (granted?.kind !== 'dispatch') return t.fail()
  const resend = b.guard.begin(call())
  const third = a.guard.begin(call())
  granted.run.notSent()
  const kinds = [kind(await pass(resend)), kind(await pass(third))].sort()
  t.deepEqual(kinds, ['dispatch', 'unknown key-in-progress'])
})

// Guards against a wrong verdict when the register can't be reached at one step.
test('the register is away at each step', async (t) => {
  for (const fault of ['request lost', 'reply lost', 'refused'] as const) {
    const { sim, faults, node, call, pass, lost } = setup()
    const executor = node('vm-a')
    faults.claim = fault
    t.is(kind(await pass(executor.guard.begin(call()))), 'not-run register-unavailable')
    delete faults.claim
    await pass(executor.guard.idle())
    const it = call()
    const granted = await pass(executor.guard.begin(it))
    if (granted?.kind !== 'dispatch') return t.fail()
    faults.cancel = fault
    t.is(await lost(it), 'unknown')
    delete faults.cancel
    faults.finish = fault
    granted.run.finished(answer('late'))
    await sim.advance(1000)
    // The finish whose reply is lost was applied.
    t.is(await lost({ ...it, deadlineMs: sim.nowMs() + 500 }), fault === 'reply lost' ? 'replay' : 'unknown')
    delete faults.finish
    await pass(executor.guard.idle())
    t.is(kind(await pass(node('vm-b').guard.begin(call()))), 'replay')
    faults.release = fault
    const other = await pass(executor.guard.begin(call('body', 'other')))
    if (other?.kind !== 'dispatch') return t.fail()
    other.run.notSent()
    await sim.advance(1000)
    delete faults.release
    await pass(executor.guard.idle())
    t.is(kind(await pass(node('vm-b').guard.begin(call('body', 'other')))), 'dispatch')
  }
})

// Guards against an answer given to another request, and against a second run of a key whose answer was dropped.
test('another body, a full register, a dropped answer', async (t) => {
  const { sim, node, call, pass } = setup({ keyLimit: 2, answerVolumeBytes: 60 })
  const { guard } = node('vm-a')
  for (const key of ['a', 'b']) {
    const granted = await pass(guard.begin(call('body', key)))
    if (granted?.kind !== 'dispatch') return t.fail()
    await pass(granted.run.finished(answer('x'.repeat(50))))
  }
  t.is(kind(await pass(guard.begin(call('other', 'a')))), 'not-run key-reused')
  t.is(kind(await pass(guard.begin(call('body', 'c')))), 'not-run register-unavailable')
  t.is(kind(await pass(guard.begin(call('body', 'a')))), 'unknown answer-dropped')
  t.is(kind(await pass(guard.begin(call('body', 'b')))), 'replay')
  await sim.advance(86_400_000)
  t.is(kind(await pass(guard.begin(call('body', 'c')))), 'dispatch')
})
