import { createHash } from 'node:crypto'
import type { StateMachine, WireClaimResult, WireRun } from '@orioleslip/core'
import { createResponseRing, type ResponseRingState } from './response-ring.js'
import {
  FENCE_LIMIT, FINISH_GRACE_MS, KEY_FUTURE_LIMIT_MS, RESPONSE_RING_BYTES, STORED_BODY_LIMIT_BYTES, STORED_RESPONSE_LIMIT_BYTES,
  TOKEN_LIFETIME_MS, type KeyCommand, type KeyReply
} from './commands.js'
import { createFences, type FencesState } from './fences.js'
import { createExecutorNames, type ExecutorNamesState } from './executor-names.js'
import { createRecordTable, type RecordTableState } from './record-table.js'
import { uuid7TimeMs } from './uuid7.js'

/** JSON snapshot of the key register. Records and responses are blocks of base64 text, so a snapshot allocates no object per key. */
export type KeyState = {
  format: 1
  nowMs: number
  records: RecordTableState
  answers: ResponseRingState
  fences: FencesState
  names: ExecutorNamesState
}

export type KeyStateMachine = StateMachine<KeyCommand, KeyReply, KeyState> & {
  /** Numbers of keys and fences, for metrics and measurements. */
  usage: () => { keys: number, fences: number }
}

// Each claim adds at most one record, so examining several per command keeps up with any rate of claims and bounds the pause.
const EXAMINED_PER_COMMAND = 16

const digest = (text: string) => createHash('sha256').update(text).digest()
const tokenBytes = (token: string) => Buffer.from(token.replaceAll('-', ''), 'hex')

export type KeyStateMachineLimits = {
  answerVolumeBytes: number
  fences: number
  /** Initial number of slots in the index, a power of two. */
  indexSize?: number
}

/** Creates the state machine of the key register. Only tests reduce `limits`, which must be the same on all replicas. */
export function createKeyStateMachine (
  limits: KeyStateMachineLimits = { answerVolumeBytes: RESPONSE_RING_BYTES, fences: FENCE_LIMIT }
): KeyStateMachine {
  const table = createRecordTable(limits.indexSize)
  const { rows } = table
  const responses = createResponseRing(limits.answerVolumeBytes)
  const fences = createFences(limits.fences)
  const executorNames = createExecutorNames()
  // Highest command time so far. It never falls, so a control VM whose clock is behind can't make an expired token valid again.
  let nowMs = 0

  const isUnfinished = (row: number) => rows.short(row, 'status') === 0
  const tokenMs = (row: number) => rows.bytes(row, 'token').readUIntBE(0, 6)

  function removeRecord (row: number) {
    executorNames.release(rows.short(row, 'executor'))
    table.remove(row)
  }

  // A record outlives its token, so that a late claim or cancel of this token still finds it, and the validity of a UUIDv7 key.
  function expire (retentionMs: number) {
    for (let i = 0; i < EXAMINED_PER_COMMAND; i++) {
      const row = table.oldest()
      if (row === undefined || rows.time(row, 'queuedMs') + retentionMs > nowMs) return
      const keyMs = rows.time(row, 'keyMs')
      if (tokenMs(row) + TOKEN_LIFETIME_MS > nowMs || keyMs + retentionMs > nowMs) {
        rows.setTime(row, 'queuedMs', nowMs)
        table.requeue(row)
      } else removeRecord(row)
    }
  }

  function storedRun (row: number): WireRun {
    const run = { status: rows.short(row, 'status'), bodySha256: rows.bytes(row, 'digest').toString('hex') }
    const length = rows.short(row, 'answerLength')
    const bytes = length === 0 ? undefined : responses.read(rows.answerPos(row), length)
    if (bytes === undefined) return run
    const headEnd = 4 + bytes.readUInt32LE(0)
    const headers = JSON.parse(bytes.toString('utf8', 4, headEnd)) as string[]
    return { ...run, answer: { headers, body: bytes.toString('base64', headEnd) } }
  }

  function storeResponse (row: number, response: NonNullable<WireRun['answer']>) {
    const head = Buffer.from(JSON.stringify(response.headers))
    const body = Buffer.from(response.body, 'base64')
    const length = 4 + head.length + body.length
    if (body.length > STORED_BODY_LIMIT_BYTES || length > STORED_RESPONSE_LIMIT_BYTES) return
    const prefix = Buffer.alloc(4)
    prefix.writeUInt32LE(head.length)
    const pos = responses.write(Buffer.concat([prefix, head, body], length))
    if (pos === undefined) return
    rows.setAnswerPos(row, pos)
    rows.setShort(row, 'answerLength', length)
  }

  function recordedOutcome (row: number) {
    if (isUnfinished(row)) return { kind: 'dispatched' as const, executorVm: executorNames.name(rows.short(row, 'executor')) }
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
      const result = recordedOutcome(row)
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
    rows.setShort(added, 'executor', executorNames.acquire(cmd.executorVm))
    return { kind: 'granted' }
  }

  function finish (row: number, run: WireRun) {
    rows.setShort(row, 'status', run.status)
    rows.setBytes(row, 'digest', Buffer.from(run.bodySha256, 'hex'))
    if (run.answer !== undefined) storeResponse(row, run.answer)
  }

  function cancel (ownRow: number | undefined, token: string): KeyReply {
    if (ownRow !== undefined) return { type: 'cancel', result: recordedOutcome(ownRow) }
    const createdMs = uuid7TimeMs(token)
    // The record of such a token may have expired, so its absence doesn't show that the call did not run.
    if (createdMs === undefined || createdMs + TOKEN_LIFETIME_MS <= nowMs) return { type: 'undecided', message: 'the token is too old or not a UUIDv7' }
    if (fences.add(token, nowMs)) return { type: 'cancel', result: { kind: 'cancelled' } }
    return { type: 'undecided', message: `the limit of ${limits.fences} fences is reached` }
  }

  function apply (_index: number, cmd: KeyCommand): KeyReply {
    // A control VM whose clock is far ahead must not advance the time for good: that would expire all records, and refuse every token
    // until the true time catches up. So the time never passes the end of the newest token's lifetime.
    const createdMs = uuid7TimeMs(cmd.token) ?? 0
    nowMs = Math.max(nowMs, Math.min(cmd.wallMs, createdMs + TOKEN_LIFETIME_MS))
    expire(cmd.retentionMs)
    fences.expire(nowMs)
    const id = digest(JSON.stringify([cmd.customer, cmd.key]))
    const token = cmd.token.toLowerCase()
    if (cmd.type === 'claim') return { type: 'claim', result: claim(cmd, id, token) }
    const found = table.find(id)
    // The record only if this token claimed it.
    const ownRow = found !== undefined && rows.equals(found, 'token', tokenBytes(token)) ? found : undefined
    switch (cmd.type) {
      case 'finish':
        if (ownRow !== undefined && isUnfinished(ownRow)) finish(ownRow, cmd.run)
        return { type: 'done' }
      case 'release':
        // The fence refuses a duplicate of the claim that arrives after the release; no executor would finish or release that claim.
        // A finished run is never released: that would allow a second run.
        if (ownRow !== undefined && !isUnfinished(ownRow)) return { type: 'done' }
        if (ownRow !== undefined) removeRecord(ownRow)
        fences.add(token, nowMs)
        return { type: 'done' }
      case 'cancel':
        return cancel(ownRow, token)
    }
  }

  return {
    apply,
    usage: () => ({ keys: table.size(), fences: fences.size() }),
    snapshot: () => ({
      format: 1,
      nowMs,
      records: table.snapshot(),
      answers: responses.snapshot(),
      fences: fences.snapshot(),
      names: executorNames.snapshot()
    }),
    restore: (state) => {
      if (state.format !== 1) throw new Error(`key register snapshot has format ${String(state.format)}, expected 1; use the version that wrote it`)
      nowMs = state.nowMs
      table.restore(state.records)
      responses.restore(state.answers)
      fences.restore(state.fences)
      executorNames.restore(state.names)
    }
  }
}
