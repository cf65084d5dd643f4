import test from 'ava'
import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { createFakeClock, type CancelResult, type ClaimResult, type FinishedRun, type KeyRegister, type RegisterError } from '@orioleslip/core'
import { createIdempotencyGuard, type GuardDecision } from './idempotency-guard.js'
import { parseIdempotencyKey } from './idempotency-key.js'
import { resolveLostCall } from './lost-call.js'
import { createRegisterClient } from './register-client.js'
import { requestHashOf } from './request-hash.js'
import { createResponseRecorder, STORED_RESPONSE_BODY_BYTES } from './response-recorder.js'
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

/** A register with scripted replies that records the calls to it; the last reply of a list is repeated. */
function setup (script: Script) {
  const calls: string[] = []
  const claimIds = new Set<string>()
  const runs: FinishedRun[] = []
  function next<T> (name: keyof typeof script, replies: Array<Reply<T>> | undefined): Reply<T> {
    calls.push(name)
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
  const guard = createIdempotencyGuard({ register, clock, log: { warn: () => calls.push('warn') }, vmId: 'vm-1' })
  const call = (timeoutMs = 5000, signal?: AbortSignal) => ({
    customer: 'c',
    key: 'k',
    token: newAttemptToken(clock),
    opKey: 'POST claims /claims',
    requestHash: requestHashOf('POST', '/claims', Buffer.from('body')),
    deadlineMs: clock.nowMs() + timeoutMs,
    ...(signal === undefined ? {} : { signal })
  })
  /** Advances the clock until the promise settles. */
  async function settle<T> (promise: Promise<T>, stepMs = 25): Promise<T> {
    const values: T[] = []
    promise.then((value) => values.push(value))
    for (let i = 0; i < 4000 && values.length === 0; i++) await clock.advance(stepMs)
    if (values.length === 0) throw new Error('the promise did not settle')
    return values[0]!
  }
  return { calls, claimIds, runs, register, clock, guard, call, settle }
}

const granted = okAsync<ClaimResult, RegisterError>({ kind: 'granted' })
const busy = (remainingMs: number) => okAsync<ClaimResult, RegisterError>({ kind: 'dispatched', executorVm: 'vm-2', remainingMs })
const done = okAsync<void, RegisterError>(undefined)
const run: FinishedRun = { status: 201, bodySha256: 'd'.repeat(64), answer: { status: 201, headers: [], body: Buffer.from('x') } }
const refusal = (decision: GuardDecision) => decision.kind === 'refuse' ? `${decision.refusal.outcome} ${decision.refusal.code}` : decision.kind

// Guards against a lost claim reply that blocks the key: the register may have granted the claim, and would take a retry with another
// token or claim id for another call.
test('a claim without a reply is retried with the same token and claim id', async (t) => {
  const { guard, call, settle, claimIds, calls } = setup({ claim: [down('unknown'), down('not-applied'), granted] })
  t.is((await settle(guard.begin(call()))).kind, 'dispatch')
  t.deepEqual([calls, claimIds.size], [['claim', 'claim', 'claim'], 1])
})

// Guards against `not-run` while the register still holds a claim whose reply was lost, which would block resends of the key.
for (const [name, claim] of [['silent', silent()], ['failing', down('unknown')]] as const) {
  test(`a ${name} register: refused as not-run, released in the background until that succeeds`, async (t) => {
    const { guard, call, settle, calls } = setup({ claim: [claim], release: [down('not-applied'), silent(), done] })
    t.is(refusal(await settle(guard.begin(call()))), 'not-run register-unavailable')
    await settle(guard.idle())
    t.deepEqual(calls.filter((name) => name === 'release').length, 3)
    t.is(guard.pendingRecords(), 0)
  })
}

// Guards against needless releases while the register is unavailable, when no claim can have been applied.
test('claims that were certainly not applied are not released', async (t) => {
  const { guard, call, settle, calls } = setup({ claim: [down('not-applied')] })
  t.is(refusal(await settle(guard.begin(call()))), 'not-run register-unavailable')
  t.is(refusal(await settle(guard.begin(call(1000)))), 'not-run deadline-exceeded')
  t.false(calls.includes('release'))
})

// Guards against a dispatch after the deadline, after a cancel frame, or after a suspension of the VM, which stops the monotonic clock and
// so the deadline.
test('a grant that arrives too late is released', async (t) => {
  const late = (ms: number, clock: { sleep: (ms: number) => Promise<void> }) =>
    new ResultAsync<ClaimResult, RegisterError>(clock.sleep(ms).then(() => granted))
  const { guard, call, settle, calls, clock, register } = setup({ claim: [granted], release: [done] })
  register.claim = () => late(100, clock)
  t.is(refusal(await settle(guard.begin(call(50)))), 'not-run deadline-exceeded')
  const gone = new AbortController()
  const decision = guard.begin(call(5000, gone.signal))
  gone.abort()
  t.is(refusal(await settle(decision)), 'not-run deadline-exceeded')
  const suspended = guard.begin(call())
  const wallMs = clock.wallMs
  clock.wallMs = () => wallMs() + 70_000
  t.is(refusal(await settle(suspended)), 'not-run deadline-exceeded')
  await settle(guard.idle())
  t.is(calls.filter((name) => name === 'release').length, 3)
})

// Guards against a second dispatch of a key whose first call still runs, and against a resend of it that is refused as `not-run`.
test('a key in progress is awaited up to the deadline', async (t) => {
  const first = setup({ claim: [busy(9000), busy(8000), okAsync({ kind: 'finished', run })] })
  t.deepEqual(await first.settle(first.guard.begin(first.call())), { kind: 'replay', answer: run.answer! })
  const second = setup({ claim: [busy(9000)] })
  const refused = await second.settle(second.guard.begin(second.call()))
  t.is(refusal(refused), 'unknown key-in-progress')
  const third = setup({ claim: [busy(9000), down('not-applied')] })
  t.is(refusal(await third.settle(third.guard.begin(third.call(9000)))), 'unknown key-in-progress')
})

// Guards against a wrong code or outcome of the refusal for one of the register's replies, by which clients decide on a resend.
test('each reply of the register maps to its refusal', async (t) => {
  const replies: Array<[ClaimResult, string]> = [
    [{ kind: 'mismatch' }, 'not-run key-reused'],
    [{ kind: 'full' }, 'not-run register-unavailable'],
    [{ kind: 'cancelled' }, 'not-run target-lost'],
    [{ kind: 'expired' }, 'unknown key-expired'],
    [{ kind: 'dispatched', executorVm: 'vm-2', remainingMs: 0 }, 'unknown outcome-unknown'],
    [{ kind: 'finished', run: { status: 201, bodySha256: 'd'.repeat(64) } }, 'unknown answer-dropped']
  ]
  for (const [reply, expected] of replies) {
    const { guard, call, settle } = setup({ claim: [okAsync(reply)] })
    t.is(refusal(await settle(guard.begin(call()))), expected)
  }
})

// Guards against a finished run that stays unrecorded after a lost command, and against a release after the response was recorded.
test('a finish is retried until recorded, and a run ends only once', async (t) => {
  const { guard, call, settle, calls, runs } = setup({ claim: [granted], finish: [down('unknown'), silent(), done] })
  const decision = await settle(guard.begin(call()))
  if (decision.kind !== 'dispatch') return t.fail()
  await settle(Promise.all([decision.run.finished(run), decision.run.notSent(), decision.run.finished(run)]))
  await settle(guard.idle())
  t.deepEqual(calls, ['claim', 'finish', 'finish', 'finish'])
  t.deepEqual(runs, [run, run, run])
})

// Guards against a complete response that is held back for as long as the register is unavailable.
test('a finish is awaited for one second', async (t) => {
  const { guard, call, settle, clock } = setup({ claim: [granted], finish: [silent()] })
  const decision = await settle(guard.begin(call()))
  if (decision.kind !== 'dispatch') return t.fail()
  const startMs = clock.nowMs()
  await settle(decision.run.finished(run))
  t.deepEqual([clock.nowMs() - startMs <= 1025, guard.pendingRecords()], [true, 1])
})

// Guards against background commands that accumulate while the register stays unavailable, and that prevent a stop.
test('background commands are abandoned after an hour, and at a stop', async (t) => {
  const { guard, call, settle, calls } = setup({ claim: [granted], release: [down('not-applied')] })
  const [first, second] = [await settle(guard.begin(call())), await settle(guard.begin(call()))]
  if (first.kind !== 'dispatch' || second.kind !== 'dispatch') return t.fail()
  await settle(first.run.notSent(), 1000)
  t.is(calls.at(-1), 'warn')
  const released = second.run.notSent()
  guard.stop()
  await settle(released)
  t.is(guard.pendingRecords(), 0)
})

// Guards against `not-run` for a lost call that the executor may still dispatch, because its token was not cancelled at the register.
test('a lost call is not-run only after a confirmed cancel', async (t) => {
  const verdict = async (cancel: Array<Reply<CancelResult>>, timeoutMs = 2000) => {
    const { register, clock, call, settle } = setup({ cancel })
    const result = await settle(resolveLostCall({ register, clock }, { ...call(timeoutMs), code: 'target-lost' }))
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

// Guards against two requests with one hash when their parts are split differently, against large responses kept in memory, and against
// recorded chunks that change when the HTTP client reuses their memory.
test('request hash and response recorder', (t) => {
  t.not(requestHashOf('POST', '/a', Buffer.from('bc')), requestHashOf('POST', '/ab', Buffer.from('c')))
  t.not(requestHashOf('POST', '/a?x=1', Buffer.from('')), requestHashOf('POST', '/a', Buffer.from('')))
  const small = createResponseRecorder(200, ['a', 'b'])
  const chunk = Buffer.from('one')
  small.add(chunk)
  chunk.fill('z')
  t.is(Buffer.from(small.done().answer!.body).toString(), 'one')
  const large = createResponseRecorder(200, [])
  large.add(Buffer.alloc(STORED_RESPONSE_BODY_BYTES))
  large.add(Buffer.alloc(1))
  t.is(large.done().answer, undefined)
})

// Guards against keys that the register refuses, and against two records for one key that is sent with and without quotes.
test('the Idempotency-Key header is parsed and validated', (t) => {
  t.deepEqual(['"abc"', 'abc', ' abc '].map((text) => parseIdempotencyKey(text).unwrapOr('')), ['abc', 'abc', 'abc'])
  t.is(parseIdempotencyKey(undefined)._unsafeUnwrapErr().code, 'key-required')
  for (const bad of ['', '""', '"abc', 'a'.repeat(256), 'a\tb', 'é']) t.is(parseIdempotencyKey(bad)._unsafeUnwrapErr().code, 'bad-request')
})

// Guards against a malformed reply that is accepted as a grant, after which the call would be dispatched without a claim.
test('the register client validates replies', async (t) => {
  const calls: Array<[string, unknown]> = []
  let reply: unknown = { kind: 'granted' }
  const client = createRegisterClient((procedure, input) => {
    calls.push([procedure, input])
    return okAsync(reply)
  })
  t.is((await client.cancel({ customer: 'c', key: 'k' }, 'token'))._unsafeUnwrapErr().outcome, 'unknown')
  reply = { kind: 'finished', run: { status: 201, bodySha256: 'd'.repeat(64), answer: { headers: [], body: Buffer.from('x').toString('base64') } } }
  t.deepEqual((await client.cancel({ customer: 'c', key: 'k' }, 'token'))._unsafeUnwrap(), { kind: 'finished', run })
  await client.finish({ customer: 'c', key: 'k' }, 'token', run)
  t.deepEqual(calls.at(-1), ['keys.finish', { customer: 'c', key: 'k', token: 'token', run: (reply as { run: unknown }).run }])
})
