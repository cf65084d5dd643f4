import { isDeepStrictEqual } from 'node:util'
import test from 'ava'
import fc from 'fast-check'
import { RESPONSE_RING_BYTES, FINISH_GRACE_MS, TOKEN_LIFETIME_MS, type KeyCommand } from './commands.js'
import { createKeyStateMachine, type KeyState } from './state-machine.js'

const START_MS = 1_760_000_000_000
const HOUR_MS = 3_600_000
const RETENTION_MS = 24 * HOUR_MS

function uuid7 (ms: number, n: number): string {
  const hex = ms.toString(16).padStart(12, '0')
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${String(n).padStart(12, '0')}`
}

/** Creates a state machine, the clock of its commands, and a shorthand for each command; `n` selects the token. */
function setup (options: { answerVolumeBytes?: number, fences?: number, keyLimit?: number } = {}) {
  const { answerVolumeBytes = 1000, fences = 100, keyLimit = 1000 } = options
  const machine = createKeyStateMachine({ answerVolumeBytes, fences, indexSize: 64 })
  const time = { nowMs: START_MS }
  const token = (n: number, ms = START_MS) => uuid7(ms, n)
  const base = (n: number | string, key: string) =>
    ({ customer: 'c', key, token: typeof n === 'string' ? n : token(n), wallMs: time.nowMs, retentionMs: RETENTION_MS, keyLimit })
  const apply = (cmd: KeyCommand) => machine.apply(0, cmd)
  return {
    machine,
    time,
    token,
    claim: (n: number | string, key = 'k', more: Partial<KeyCommand & { type: 'claim' }> = {}) => apply({
      ...base(n, key),
      type: 'claim',
      opKey: 'POST claims /claims',
      requestHash: 'a'.repeat(64),
      executorVm: 'vm-1',
      claimId: '0123456789abcdef',
      timeoutMs: 1000,
      ...more
    }),
    finish: (n: number | string, key = 'k', body: string | undefined = 'done', status = 201) => apply({
      ...base(n, key),
      type: 'finish',
      run: { status, bodySha256: 'd'.repeat(64), answer: { headers: ['x', 'y'], body: Buffer.from(body).toString('base64') } }
    }),
    release: (n: number | string, key = 'k') => apply({ ...base(n, key), type: 'release' }),
    cancel: (n: number | string, key = 'k') => apply({ ...base(n, key), type: 'cancel' })
  }
}

const claimed = (kind: 'granted' | 'mismatch' | 'cancelled' | 'expired' | 'full') => ({ type: 'claim', result: { kind } })
const dispatched = (remainingMs: number, executorVm = 'vm-1') => ({ type: 'claim', result: { kind: 'dispatched', executorVm, remainingMs } })
const answer = { headers: ['x', 'y'], body: Buffer.from('done').toString('base64') }
const finishedRun = { status: 201, bodySha256: 'd'.repeat(64), answer }

// Guards against a call that runs twice because its key is granted again: to a resend with another token, or to a duplicate of the
// call that starts the same attempt on another executor.
test('only a repetition of the same claim is granted again', (t) => {
  const { claim } = setup()
  t.deepEqual(claim(1), claimed('granted'))
  t.deepEqual(claim(1), claimed('granted'))
  t.deepEqual(claim(2), dispatched(1000 + FINISH_GRACE_MS))
  t.deepEqual(claim(1, 'k', { claimId: 'ffffffffffffffff', executorVm: 'vm-2' }), dispatched(1000 + FINISH_GRACE_MS))
})

// Guards against a response that belongs to another request, when a caller reuses a key with another body or operation, or when two
// customers choose the same key.
test('a key with another body or operation is a mismatch, and customers do not share keys', (t) => {
  const { claim, finish } = setup()
  claim(1)
  t.deepEqual(claim(2, 'k', { requestHash: 'b'.repeat(64) }), claimed('mismatch'))
  finish(1)
  t.deepEqual(claim(2, 'k', { opKey: 'POST orders /claims' }), claimed('mismatch'))
  t.deepEqual(claim(2), { type: 'claim', result: { kind: 'finished', run: finishedRun } })
  t.deepEqual(claim(3, 'k', { customer: 'd' }), claimed('granted'))
})

// Guards against resends that wait forever when the executor crashed after its claim, so that nothing finishes the record.
test('a running call has an unknown outcome after its deadline', (t) => {
  const { claim, time } = setup()
  claim(1)
  time.nowMs += 1000 + FINISH_GRACE_MS
  t.deepEqual(claim(2), dispatched(0))
})

// Guards against a call that runs after the caller got `not-run`: a frozen executor resumes after the cancel and claims, within or
// after the token lifetime.
test('a cancelled token is never granted', (t) => {
  const { claim, cancel, time, machine } = setup()
  t.deepEqual(cancel(1), { type: 'cancel', result: { kind: 'cancelled' } })
  t.deepEqual(cancel(1), { type: 'cancel', result: { kind: 'cancelled' } })
  t.deepEqual(claim(1), claimed('cancelled'))
  t.deepEqual(claim(2, 'k', { token: setup().token(1).toUpperCase() }), claimed('cancelled'))
  time.nowMs += TOKEN_LIFETIME_MS
  t.deepEqual(claim(1), claimed('cancelled'))
  t.is(machine.usage().fences, 0)
  time.nowMs -= HOUR_MS
  t.deepEqual(claim(1), claimed('cancelled'), 'a control VM whose clock is behind must not make the token valid again')
})

// Guards against `not-run` for a call that was dispatched: a cancel arrives after the claim, or after the record may have expired.
test('a cancel after the claim returns the recorded outcome', (t) => {
  const { claim, cancel, finish, time } = setup()
  claim(1)
  t.deepEqual(cancel(1), { type: 'cancel', result: { kind: 'dispatched', executorVm: 'vm-1' } })
  finish(1)
  t.deepEqual(cancel(1), { type: 'cancel', result: { kind: 'finished', run: finishedRun } })
  t.deepEqual(cancel(2), { type: 'cancel', result: { kind: 'cancelled' } }, 'the other attempt did not run')
  time.nowMs += RETENTION_MS
  claim(3, 'other', { token: setup().token(3, time.nowMs) })
  t.is(cancel(1).type, 'undecided')
})

// Guards against a cancel that is confirmed without a fence because the limit of fences is reached: the token could still claim.
test('a cancel beyond the limit of fences is not confirmed', (t) => {
  const { cancel } = setup({ fences: 1 })
  cancel(1)
  t.is(cancel(2, 'l').type, 'undecided')
})

// Guards against a key that stays dispatched: a duplicate of the claim arrives after the release, and no executor finishes it.
test('a released key is free for other tokens only', (t) => {
  const { claim, release } = setup()
  claim(1)
  release(1)
  t.deepEqual(claim(1), claimed('cancelled'))
  t.deepEqual(claim(2), claimed('granted'))
  release(1)
  t.deepEqual(claim(3), dispatched(1000 + FINISH_GRACE_MS), 'a late duplicate of the release must not free the new claim')
  release(4, 'early')
  t.deepEqual(claim(4, 'early'), claimed('cancelled'))
})

// Guards against a second run or a changed response: a late release or a second finish arrives after the run was recorded.
test('a finished run stays as it is', (t) => {
  const { claim, finish, release } = setup()
  claim(1)
  finish(2)
  t.deepEqual(claim(1), claimed('granted'), 'a finish by another token has no effect')
  finish(1)
  finish(1, 'k', 'other', 500)
  release(1)
  t.deepEqual(claim(2), { type: 'claim', result: { kind: 'finished', run: finishedRun } })
})

// Guards against the loss of all records, and against later tokens that are all too old, after one command from a control VM whose
// clock is far ahead: the time of the register never falls.
test('a command time ten days ahead expires no record of the last hours', (t) => {
  const { claim, time, token } = setup()
  claim(1)
  time.nowMs += 240 * HOUR_MS
  t.deepEqual(claim(token(2, START_MS + 1000), 'l'), claimed('cancelled'))
  time.nowMs = START_MS + 2000
  t.deepEqual(claim(token(3, time.nowMs)), dispatched(0))
  t.deepEqual(claim(token(4, time.nowMs), 'l'), claimed('granted'))
})

// Guards against second runs of keys that were evicted for new ones at the key limit, and against a register that stays full because
// records don't expire.
test('a full register refuses new keys until old ones expire', (t) => {
  const { claim, time, token } = setup({ keyLimit: 2 })
  claim(1, 'a')
  claim(2, 'b')
  t.deepEqual(claim(3, 'c'), claimed('full'))
  t.deepEqual(claim(1, 'a'), claimed('granted'))
  time.nowMs += RETENTION_MS
  t.deepEqual(claim(token(4, time.nowMs), 'c'), claimed('granted'))
})

// Guards against a second run when a key is resent after its record expired: the caller's clock was ahead, or the retention is
// shorter than the token lifetime.
test('an expired UUIDv7 key is refused, and its record is kept until then', (t) => {
  const { claim, time, token, machine } = setup()
  const key = uuid7(START_MS + HOUR_MS / 2, 9)
  claim(1, key)
  time.nowMs += RETENTION_MS + 1
  t.deepEqual(claim(token(2, time.nowMs), key), dispatched(0))
  time.nowMs += RETENTION_MS
  t.deepEqual(claim(token(3, time.nowMs), key), claimed('expired'))
  t.is(machine.usage().keys, 0)
  const shortRetention = setup()
  shortRetention.claim(1, 'k', { retentionMs: 60_000 })
  shortRetention.time.nowMs += TOKEN_LIFETIME_MS - 1
  shortRetention.claim(2, 'other', { retentionMs: 60_000 })
  t.deepEqual(shortRetention.cancel(1), { type: 'cancel', result: { kind: 'dispatched', executorVm: 'vm-1' } })
})

// Guards against unbounded memory for responses, and against a second run of a key whose response was overwritten in the ring or
// was too large to store.
test('the oldest responses are dropped, status and digest stay', (t) => {
  const { claim, finish } = setup({ answerVolumeBytes: 250 })
  for (const [n, key] of ['a', 'b', 'c'].entries()) {
    claim(n, key)
    finish(n, key, key.repeat(100))
  }
  t.deepEqual(claim(9, 'a'), { type: 'claim', result: { kind: 'finished', run: { status: 201, bodySha256: 'd'.repeat(64) } } })
  for (const key of ['b', 'c']) {
    const stored = { ...finishedRun, answer: { headers: ['x', 'y'], body: Buffer.from(key.repeat(100)).toString('base64') } }
    t.deepEqual(claim(9, key), { type: 'claim', result: { kind: 'finished', run: stored } })
  }
  claim(5, 'large')
  finish(5, 'large', 'x'.repeat(16 * 1024 + 1))
  t.deepEqual(claim(9, 'large'), { type: 'claim', result: { kind: 'finished', run: { status: 201, bodySha256: 'd'.repeat(64) } } })
  t.is(RESPONSE_RING_BYTES, 67_108_864)
})

// Guards against replicas that diverge because a restore from a snapshot loses state, and against replies that differ from those of
// a plain map of records, in any order of commands.
test('replies match a simple model, with a restore in the middle', (t) => {
  const op = fc.record({
    type: fc.constantFrom('claim', 'claim', 'claim', 'finish', 'release', 'cancel', 'restore'),
    key: fc.constantFrom(...Array.from({ length: 12 }, (_, i) => `key-${i}`)),
    n: fc.nat(30),
    waitMs: fc.constantFrom(0, 10, HOUR_MS / 4)
  })
  fc.assert(fc.property(fc.array(op, { maxLength: 150, size: 'max' }), (ops) => {
    const primary = setup({ answerVolumeBytes: 100_000 })
    let replica = setup({ answerVolumeBytes: 100_000 })
    const records = new Map<string, { n: number, finished: boolean }>()
    const fenced = new Set<number>()
    for (const { type, key, n, waitMs } of ops) {
      primary.time.nowMs = Math.min(primary.time.nowMs + waitMs, START_MS + TOKEN_LIFETIME_MS - 1)
      replica.time.nowMs = primary.time.nowMs
      if (type === 'restore') {
        const state = JSON.parse(JSON.stringify(primary.machine.snapshot())) as KeyState
        replica = setup({ answerVolumeBytes: 100_000 })
        replica.machine.restore(state)
        t.true(isDeepStrictEqual(replica.machine.snapshot(), state))
        continue
      }
      const reply = primary[type](n, key)
      t.deepEqual(replica[type](n, key), reply)
      const record = records.get(key)
      const held = record !== undefined && record.n === n
      let expected = 'done'
      if (type === 'claim') {
        expected = fenced.has(n) ? 'cancelled' : record?.finished ? 'finished' : record === undefined || held ? 'granted' : 'dispatched'
        if (expected === 'granted') records.set(key, { n, finished: false })
      } else if (type === 'cancel') {
        expected = !held ? 'cancelled' : record.finished ? 'finished' : 'dispatched'
        if (!held) fenced.add(n)
      } else if (type === 'finish') {
        if (held) record.finished = true
      } else if (!held || !record.finished) {
        if (held) records.delete(key)
        fenced.add(n)
      }
      t.is(String('result' in reply ? reply.result.kind : reply.type), expected)
    }
  }), { seed: 7, numRuns: 60 })
})

// Guards against rows that are lost or never expire when the table grows over several pages and the index is rebuilt.
test('twenty thousand keys are found after a restore and expire', (t) => {
  const { claim, machine, time, token } = setup({ keyLimit: 100_000 })
  for (let i = 0; i < 20_000; i++) claim(token(i), `key-${i}`, { executorVm: `vm-${i % 50}` })
  const restored = createKeyStateMachine({ answerVolumeBytes: 1000, fences: 100, indexSize: 64 })
  restored.restore(JSON.parse(JSON.stringify(machine.snapshot())) as KeyState)
  t.is(restored.usage().keys, 20_000)
  t.true(isDeepStrictEqual(restored.snapshot(), machine.snapshot()))
  for (let i = 0; i < 20_000; i += 997) t.deepEqual(claim(99_999, `key-${i}`), dispatched(1000 + FINISH_GRACE_MS, `vm-${i % 50}`))
  time.nowMs += RETENTION_MS
  for (let i = 0; i < 1300; i++) claim(token(i, time.nowMs), 'new')
  t.is(machine.usage().keys, 1)
})
