import { createHash } from 'node:crypto'
import type { StateMachine, WireClaimResult, WireRun } from '@orioleslip/core'
import { createAnswerRing, type AnswerRingState } from './answer-ring.js'
import {
  ANSWER_VOLUME_BYTES, FENCE_LIMIT, FINISH_GRACE_MS, KEY_FUTURE_LIMIT_MS, STORED_ANSWER_LIMIT_BYTES, STORED_BODY_LIMIT_BYTES,
  TOKEN_LIFETIME_MS, type KeyCommand, type KeyReply
} from './commands.js'
import { createFences, type FencesState } from './fences.js'
import { createNames, type NamesState } from './names.js'
import { createRecordTable, type RecordTableState } from './record-table.js'
import { uuid7TimeMs } from './uuid7.js'

/** Snapshot of the key register in JSON. Records and answers are blocks of base64 text, so a copy costs no object per key. */
export type KeyState = {
  format: 1
  nowMs: number
  records: RecordTableState
  answers: AnswerRingState
  fences: FencesState
  names: NamesState
}

export type KeyMachine = StateMachine<KeyCommand, KeyReply, KeyState> & {
  /** Counts for metrics and measurements. */
  usage: () => { keys: number, fences: number }
}

// Each claim adds at most one record, so looking at several per command keeps up with any rate and bounds the pause.
const EXPIRED_PER_COMMAND = 16

const digest = (text: string) => createHash('sha256').update(text).digest()
const tokenBytes = (token: string) => Buffer.from(token.replaceAll('-', ''), 'hex')

export type KeyMachineLimits = {
  answerVolumeBytes: number
  fences: number
  /** Places of the index at the start, a power of two. */
  indexSize?: number
}

/** Creates the state machine of the key register. `limits` are reduced in tests only; they must be the same on all replicas. */
export function createKeyMachine (limits: KeyMachineLimits = { answerVolumeBytes: ANSWER_VOLUME_BYTES, fences: FENCE_LIMIT }): KeyMachine {
  const table = createRecordTable(limits.indexSize)
  const { rows } = table
  const answers = createAnswerRing(limits.answerVolumeBytes)
  const fences = createFences(limits.fences)
  const names = createNames()
  // Highest leader time seen. It never falls, so a leader whose clock is behind can't make an expired token valid again.
  let nowMs = 0

  const isUnfinished = (row: number) => rows.short(row, 'status') === 0
  const tokenMs = (row: number) => rows.bytes(row, 'token').readUIntBE(0, 6)

  function drop (row: number) {
    names.drop(rows.short(row, 'executor'))
    table.remove(row)
  }

  // A record outlives its token, so that a late claim or cancel of this token still finds it, and outlives a UUIDv7 key's validity.
  function expire (retentionMs: number) {
    for (let i = 0; i < EXPIRED_PER_COMMAND; i++) {
      const row = table.oldest()
      if (row === undefined || rows.time(row, 'queuedMs') + retentionMs > nowMs) return
      const keyMs = rows.time(row, 'keyMs')
      if (tokenMs(row) + TOKEN_LIFETIME_MS > nowMs || keyMs + retentionMs > nowMs) {
        rows.setTime(row, 'queuedMs', nowMs)
        table.requeue(row)
      } else drop(row)
    }
  }

  function storedRun (row: number): WireRun {
    const run = { status: rows.short(row, 'status'), bodySha256: rows.bytes(row, 'digest').toString('hex') }
    const length = rows.short(row, 'answerLength')
    const bytes = length === 0 ? undefined : answers.read(rows.answerPos(row), length)
    if (bytes === undefined) return run
    const headEnd = 4 + bytes.readUInt32LE(0)
    const headers = JSON.parse(bytes.toString('utf8', 4, headEnd)) as string[]
    return { ...run, answer: { headers, body: bytes.toString('base64', headEnd) } }
  }

  function storeAnswer (row: number, answer: NonNullable<WireRun['answer']>) {
    const head = Buffer.from(JSON.stringify(answer.headers))
    const body = Buffer.from(answer.body, 'base64')
    const length = 4 + head.length + body.length
    if (body.length > STORED_BODY_LIMIT_BYTES || length > STORED_ANSWER_LIMIT_BYTES) return
    const prefix = Buffer.alloc(4)
    prefix.writeUInt32LE(head.length)
    const pos = answers.write(Buffer.concat([prefix, head, body], length))
    if (pos === undefined) return
    rows.setAnswerPos(row, pos)
    rows.setShort(row, 'answerLength', length)
  }

  function outcome (row: number) {
    if (isUnfinished(row)) return { kind: 'dispatched' as const, executorVm: names.name(rows.short(row, 'executor')) }
    return { kind: 'finished' as const, run: storedRun(row) }
  }

  function claim (cmd: KeyCommand & { type: 'claim' }, id: Buffer, token: string): WireClaimResult {
    const createdMs = uuid7TimeMs(token)
    if (createdMs === undefined || createdMs + TOKEN_LIFETIME_MS <= nowMs || fences.has(token)) return { kind: 'cancelled' }
    const request = digest(`${cmd.opKey}\n${cmd.requestHash}`)
    const claimId = Buffer.from(cmd.claimId, 'hex')
    const row = table.find(id)
    if (row !== undefined) {
      if (!rows.equals(row, 'request', request)) return { kind: 'mismatch' }
      const result = outcome(row)
      if (result.kind === 'finished') return result
      if (rows.equals(row, 'token', tokenBytes(token)) && rows.equals(row, 'claimId', claimId)) return { kind: 'granted' }
      return { ...result, remainingMs: Math.max(0, rows.time(row, 'deadlineMs') - nowMs) }
    }
    const keyMs = uuid7TimeMs(cmd.key)
    if (keyMs !== undefined && keyMs + cmd.retentionMs <= nowMs) return { kind: 'expired' }
    if (table.size() >= cmd.keyLimit) return { kind: 'full' }
    const added = table.insert(id)
    rows.setBytes(added, 'token', tokenBytes(token))
    rows.setBytes(added, 'request', request)
    rows.setBytes(added, 'claimId', claimId)
    if (keyMs !== undefined && keyMs <= nowMs + KEY_FUTURE_LIMIT_MS) rows.setTime(added, 'keyMs', keyMs)
    rows.setTime(added, 'queuedMs', nowMs)
    rows.setTime(added, 'deadlineMs', nowMs + Math.max(0, cmd.timeoutMs) + FINISH_GRACE_MS)
    rows.setShort(added, 'executor', names.use(cmd.executorVm))
    return { kind: 'granted' }
  }

  function finish (row: number, run: WireRun) {
    rows.setShort(row, 'status', run.status)
    rows.setBytes(row, 'digest', Buffer.from(run.bodySha256, 'hex'))
    if (run.answer !== undefined) storeAnswer(row, run.answer)
  }

  function cancel (held: number | undefined, token: string): KeyReply {
    if (held !== undefined) return { type: 'cancel', result: outcome(held) }
    const createdMs = uuid7TimeMs(token)
    // The record of such a token may have expired, so its absence doesn't show that the call did not run.
    if (createdMs === undefined || createdMs + TOKEN_LIFETIME_MS <= nowMs) return { type: 'undecided', message: 'the token is too old' }
    if (fences.add(token, nowMs)) return { type: 'cancel', result: { kind: 'cancelled' } }
    return { type: 'undecided', message: `all ${limits.fences} fences are in use` }
  }

  function apply (_index: number, cmd: KeyCommand): KeyReply {
    // A leader whose clock is far ahead must not move the time for good: it would expire all records, and refuse every token until the
    // true time catches up. So the time never passes the end of the newest token's lifetime.
    const createdMs = uuid7TimeMs(cmd.token) ?? 0
    nowMs = Math.max(nowMs, Math.min(cmd.wallMs, createdMs + TOKEN_LIFETIME_MS))
    expire(cmd.retentionMs)
    fences.expire(nowMs)
    const id = digest(JSON.stringify([cmd.customer, cmd.key]))
    const token = cmd.token.toLowerCase()
    if (cmd.type === 'claim') return { type: 'claim', result: claim(cmd, id, token) }
    const found = table.find(id)
    const held = found !== undefined && rows.equals(found, 'token', tokenBytes(token)) ? found : undefined
    switch (cmd.type) {
      case 'finish':
        if (held !== undefined && isUnfinished(held)) finish(held, cmd.run)
        return { type: 'done' }
      case 'release':
        // The fence refuses a copy of the claim that arrives after the release; nobody would finish or release it again.
        // A finished run is never released: that would allow a second one.
        if (held !== undefined && !isUnfinished(held)) return { type: 'done' }
        if (held !== undefined) drop(held)
        fences.add(token, nowMs)
        return { type: 'done' }
      case 'cancel':
        return cancel(held, token)
    }
  }

  return {
    apply,
    usage: () => ({ keys: table.size(), fences: fences.size() }),
    snapshot: () => ({
      format: 1,
      nowMs,
      records: table.snapshot(),
      answers: answers.snapshot(),
      fences: fences.snapshot(),
      names: names.snapshot()
    }),
    restore: (state) => {
      if (state.format !== 1) throw new Error(`key register snapshot has format ${String(state.format)}, expected 1; use the version that wrote it`)
      nowMs = state.nowMs
      table.restore(state.records)
      answers.restore(state.answers)
      fences.restore(state.fences)
      names.restore(state.names)
    }
  }
}
