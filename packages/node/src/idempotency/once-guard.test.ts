import test from 'ava'
import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { createFakeClock, type CancelResult, type ClaimResult, type FinishedRun, type KeyRegister, type RegisterError } from '@orioleslip/core'
import { createAnswerRecorder, STORED_ANSWER_BODY_BYTES } from './answer-recorder.js'
import { parseIdempotencyKey } from './idempotency-key.js'
import { resolveLostCall } from './lost-call.js'
import { createOnceGuard, type Beginning } from './once-guard.js'
import { createRegisterClient } from './register-client.js'
import { requestHashOf } from './request-hash.js'
import { newAttemptToken } from './token.js'

type Reply<T> = ResultAsync<T, RegisterError>
const down = (outcome: RegisterError['outcome']): Reply<never> => errAsync({ kind: 'unavailable', outcome, message: 'test' })
const silent = (): Reply<never> => new ResultAsync(new Promise<never>(() => {}))

type Script = {
  claim?: Array<Reply<ClaimResult>>
  cancel?: Array<Reply<CancelResult>>
  finish?: Array<Reply<void>>
  release?: Array<Reply<void>>
}

/** A register that replies as the test says and notes what it is asked; the last reply of a list is repeated. */
function setup (script: Script) {
  const asked: string[] = []
  const claimIds = new Set<string>()
  const runs: FinishedRun[] = []
  function next<T> (name: keyof typeof script, replies: Array<Reply<T>> | undefined): Reply<T> {
    asked.push(name)
    if (replies === undefined) throw new Error(`unexpected ${name}`)
    return replies.length > 1 ? replies.shift()! : replies[0]!
  }
  const register: KeyRegister = {
    claim: (claim) => {
      claimIds.add(`${claim.token} ${claim.claimId}`)
      return next('claim', script.claim)
    },
    cancel: () => next('cancel', script.cancel),
    finish: (_id, _token, run) => {
      runs.push(run)
      return next('finish', script.finish)
    },
    release: () => next('release', script.release)
  }
  const clock = createFakeClock(1_760_000_000_000)
  const guard = createOnceGuard({ register, clock, log: { warn: () => asked.push('warn') }, vmId: 'vm-1' })
  const call = (timeoutMs = 5000, signal?: AbortSignal) => ({
    customer: 'c',
    key: 'k',
    token: newAttemptToken(clock),
    opKey: 'POST claims /claims',
    requestHash: requestHashOf('POST', '/claims', Buffer.from('body')),
    deadlineMs: clock.nowMs() + timeoutMs,
    ...(signal === undefined ? {} : { signal })
  })
  /** Lets time pass until the promise settles. */
  async function pass<T> (promise: Promise<T>, stepMs = 25): Promise<T> {
    const values: T[] = []
    promise.then((value) => values.push(value))
    for (let i = 0; i < 4000 && values.length === 0; i++) await clock.advance(stepMs)
    if (values.length === 0) throw new Error('the promise did not settle')
    return values[0]!
  }
  return { asked, claimIds, runs, register, clock, guard, call, pass }
}

const granted = okAsync<ClaimResult, RegisterError>({ kind: 'granted' })
const busy = (remainingMs: number) => okAsync<ClaimResult, RegisterError>({ kind: 'dispatched', executorVm: 'vm-2', remainingMs })
const done = okAsync<void, RegisterError>(undefined)
const run: FinishedRun = { status: 201, bodySha256: 'd'.repeat(64), answer: { status: 201, headers: [], body: Buffer.from('x') } }
const refusal = (beginning: Beginning) => beginning.kind === 'refuse' ? `${beginning.refusal.outcome} ${beginning.refusal.code}` : beginning.kind

// Guards against a lost claim reply that blocks the key or is repeated under another identity.
test('a claim without a reply is repeated with the same token and claim id', async (t) => {
  const { guard, call, pass, claimIds, asked } = setup({ claim: [down('unknown'), down('not-applied'), granted] })
  t.is((await pass(guard.begin(call()))).kind, 'dispatch')
  t.deepEqual([asked, claimIds.size], [['claim', 'claim', 'claim'], 1])
})

// Guards against `not-run` with a claim left behind, which would block resends of the key.
for (const [name, claim] of [['silent', silent()], ['failing', down('unknown')]] as const) {
  test(`a ${name} register: refused as not-run, released in the background until that succeeds`, async (t) => {
    const { guard, call, pass, asked } = setup({ claim: [claim], release: [down('not-applied'), silent(), done] })
    t.is(refusal(await pass(guard.begin(call()))), 'not-run register-unavailable')
    await pass(guard.idle())
    t.deepEqual(asked.filter((name) => name === 'release').length, 3)
    t.is(guard.pendingRecords(), 0)
  })
}

// Guards against a needless release when no claim can have been applied.
test('claims that were certainly not applied are not released', async (t) => {
  const { guard, call, pass, asked } = setup({ claim: [down('not-applied')] })
  t.is(refusal(await pass(guard.begin(call()))), 'not-run register-unavailable')
  t.is(refusal(await pass(guard.begin(call(1000)))), 'not-run deadline-exceeded')
  t.false(asked.includes('release'))
})

// Guards against a dispatch after the deadline, after a cancel frame, or after a suspension that stopped the monotonic clock.
test('a grant that comes too late is released', async (t) => {
  const late = (ms: number, clock: { sleep: (ms: number) => Promise<void> }) =>
    new ResultAsync<ClaimResult, RegisterError>(clock.sleep(ms).then(() => granted))
  const { guard, call, pass, asked, clock, register } = setup({ claim: [granted], release: [done] })
  register.claim = () => late(100, clock)
  t.is(refusal(await pass(guard.begin(call(50)))), 'not-run deadline-exceeded')
  const gone = new AbortController()
  const beginning = guard.begin(call(5000, gone.signal))
  gone.abort()
  t.is(refusal(await pass(beginning)), 'not-run deadline-exceeded')
  const suspended = guard.begin(call())
  const wallMs = clock.wallMs
  clock.wallMs = () => wallMs() + 70_000
  t.is(refusal(await pass(suspended)), 'not-run deadline-exceeded')
  await pass(guard.idle())
  t.is(asked.filter((name) => name === 'release').length, 3)
})

// Guards against a second dispatch of a running key and against `not-run` for it.
test('a key in progress is awaited up to the deadline', async (t) => {
  const first = setup({ claim: [busy(9000), busy(8000), okAsync({ kind: 'finished', run })] })
  t.deepEqual(await first.pass(first.guard.begin(first.call())), { kind: 'replay', answer: run.answer! })
  const second = setup({ claim: [busy(9000)] })
  const refused = await second.pass(second.guard.begin(second.call()))
  t.is(refusal(refused), 'unknown key-in-progress')
  const third = setup({ claim: [busy(9000), down('not-applied')] })
  t.is(refusal(await third.pass(third.guard.begin(third.call(9000)))), 'unknown key-in-progress')
})

// Guards against a wrong code or a wrong outcome for each reply of the register.
test('each reply has its refusal', async (t) => {
  const replies: Array<[ClaimResult, string]> = [
    [{ kind: 'mismatch' }, 'not-run key-reused'],
    [{ kind: 'full' }, 'not-run register-unavailable'],
    [{ kind: 'cancelled' }, 'not-run target-lost'],
    [{ kind: 'expired' }, 'unknown key-expired'],
    [{ kind: 'dispatched', executorVm: 'vm-2', remainingMs: 0 }, 'unknown outcome-unknown'],
    [{ kind: 'finished', run: { status: 201, bodySha256: 'd'.repeat(64) } }, 'unknown answer-dropped']
  ]
  for (const [reply, expected] of replies) {
    const { guard, call, pass } = setup({ claim: [okAsync(reply)] })
    t.is(refusal(await pass(guard.begin(call()))), expected)
  }
})

// Guards against a lost finish, and against a release after the answer was recorded.
test('a finish is repeated until recorded, and a run is closed once', async (t) => {
  const { guard, call, pass, asked, runs } = setup({ claim: [granted], finish: [down('unknown'), silent(), done] })
  const beginning = await pass(guard.begin(call()))
  if (beginning.kind !== 'dispatch') return t.fail()
  await pass(Promise.all([beginning.run.finished(run), beginning.run.notSent(), beginning.run.finished(run)]))
  await pass(guard.idle())
  t.deepEqual(asked, ['claim', 'finish', 'finish', 'finish'])
  t.deepEqual(runs, [run, run, run])
})

// Guards against a complete answer that is held back for as long as the register is away.
test('a finish is awaited for one second', async (t) => {
  const { guard, call, pass, clock } = setup({ claim: [granted], finish: [silent()] })
  const beginning = await pass(guard.begin(call()))
  if (beginning.kind !== 'dispatch') return t.fail()
  const startMs = clock.nowMs()
  await pass(beginning.run.finished(run))
  t.deepEqual([clock.nowMs() - startMs <= 1025, guard.pendingRecords()], [true, 1])
})

// Guards against background work that never ends when the register stays away.
test('records are given up after an hour, and at a stop', async (t) => {
  const { guard, call, pass, asked } = setup({ claim: [granted], release: [down('not-applied')] })
  const [first, second] = [await pass(guard.begin(call())), await pass(guard.begin(call()))]
  if (first.kind !== 'dispatch' || second.kind !== 'dispatch') return t.fail()
  await pass(first.run.notSent(), 1000)
  t.is(asked.at(-1), 'warn')
  const released = second.run.notSent()
  guard.stop()
  await pass(released)
  t.is(guard.pendingRecords(), 0)
})

// Guards against `not-run` without a confirmed cancel.
test('a lost call is not-run only after a cancel', async (t) => {
  const verdict = async (cancel: Array<Reply<CancelResult>>, timeoutMs = 2000) => {
    const { register, clock, call, pass } = setup({ cancel })
    const result = await pass(resolveLostCall({ register, clock }, { ...call(timeoutMs), code: 'target-lost' }))
    return result.kind === 'replay' ? result.kind : `${result.refusal.outcome} ${result.refusal.code}`
  }
  const dispatched = okAsync<CancelResult, RegisterError>({ kind: 'dispatched', executorVm: 'vm-2' })
  t.is(await verdict([okAsync({ kind: 'cancelled' })]), 'not-run target-lost')
  t.is(await verdict([okAsync({ kind: 'cancelled' })], -10), 'not-run target-lost')
  t.is(await verdict([down('unknown'), down('not-applied'), okAsync({ kind: 'cancelled' })]), 'not-run target-lost')
  t.is(await verdict([silent()]), 'unknown target-lost')
  t.is(await verdict([down('not-applied')]), 'unknown target-lost')
  t.is(await verdict([dispatched]), 'unknown target-lost')
  t.is(await verdict([dispatched, okAsync({ kind: 'finished', run })]), 'replay')
  t.is(await verdict([okAsync({ kind: 'finished', run: { status: 500, bodySha256: '' } })]), 'unknown answer-dropped')
})

// Guards against two requests with one hash, overlong answers in memory, and reused chunk memory.
test('request hash and answer recorder', (t) => {
  t.not(requestHashOf('POST', '/a', Buffer.from('bc')), requestHashOf('POST', '/ab', Buffer.from('c')))
  t.not(requestHashOf('POST', '/a?x=1', Buffer.from('')), requestHashOf('POST', '/a', Buffer.from('')))
  const small = createAnswerRecorder(200, ['a', 'b'])
  const chunk = Buffer.from('one')
  small.add(chunk)
  chunk.fill('z')
  t.is(Buffer.from(small.done().answer!.body).toString(), 'one')
  const large = createAnswerRecorder(200, [])
  large.add(Buffer.alloc(STORED_ANSWER_BODY_BYTES))
  large.add(Buffer.alloc(1))
  t.is(large.done().answer, undefined)
})

// Guards against keys that the register refuses or that differ only in their quoting.
test('the key header', (t) => {
  t.deepEqual(['"abc"', 'abc', ' abc '].map((text) => parseIdempotencyKey(text).unwrapOr('')), ['abc', 'abc', 'abc'])
  t.is(parseIdempotencyKey(undefined)._unsafeUnwrapErr().code, 'key-required')
  for (const bad of ['', '""', '"abc', 'a'.repeat(256), 'a\tb', 'é']) t.is(parseIdempotencyKey(bad)._unsafeUnwrapErr().code, 'bad-request')
})

// Guards against a malformed reply taken as a grant.
test('the register client checks replies', async (t) => {
  const asked: Array<[string, unknown]> = []
  let reply: unknown = { kind: 'granted' }
  const client = createRegisterClient((procedure, input) => {
    asked.push([procedure, input])
    return okAsync(reply)
  })
  t.is((await client.cancel({ customer: 'c', key: 'k' }, 'token'))._unsafeUnwrapErr().outcome, 'unknown')
  reply = { kind: 'finished', run: { status: 201, bodySha256: 'd'.repeat(64), answer: { headers: [], body: Buffer.from('x').toString('base64') } } }
  t.deepEqual((await client.cancel({ customer: 'c', key: 'k' }, 'token'))._unsafeUnwrap(), { kind: 'finished', run })
  await client.finish({ customer: 'c', key: 'k' }, 'token', run)
  t.deepEqual(asked.at(-1), ['keys.finish', { customer: 'c', key: 'k', token: 'token', run: (reply as { run: unknown }).run }])
})
