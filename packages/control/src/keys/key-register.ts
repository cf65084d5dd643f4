import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import {
  replyFromWire, runToWire, type CancelResult, type ClaimResult, type Clock, type FinishedRun, type KeyRegister, type ProposeError,
  type RegisterError, type ReplicatedLog
} from '@orioleslip/core'
import { STORED_BODY_LIMIT_BYTES, type KeyCommand, type KeyReply, type CommandContext } from './commands.js'

export type KeyRegisterOptions = {
  clock: Clock
  /** Settings `keyRetentionS` and `keyLimit` of this control VM. */
  keyRetentionS: number
  keyLimit: number
}

function toRegisterError (err: ProposeError): RegisterError {
  return { kind: 'unavailable', outcome: err.kind === 'outcomeUnknown' ? 'unknown' : 'not-applied', message: err.message }
}

const unexpected = (reply: KeyReply): RegisterError =>
  ({ kind: 'unavailable', outcome: 'unknown', message: reply.type === 'undecided' ? reply.message : `unexpected reply "${reply.type}" of the key register's log` })

/** Creates the key register on top of its log group. Claims proposed concurrently share one disk sync in the log's group commit. */
export function createKeyRegister (log: ReplicatedLog<KeyCommand, KeyReply>, options: KeyRegisterOptions): KeyRegister {
  const { clock, keyLimit } = options
  const commandContext = (): CommandContext => ({ wallMs: Math.floor(clock.wallMs()), retentionMs: options.keyRetentionS * 1000, keyLimit })
  const propose = (cmd: KeyCommand): ResultAsync<KeyReply, RegisterError> => log.propose(cmd).mapErr(toRegisterError)

  function withoutLargeResponse (run: FinishedRun): FinishedRun {
    if (run.answer === undefined || run.answer.body.byteLength <= STORED_BODY_LIMIT_BYTES) return run
    return { status: run.status, bodySha256: run.bodySha256 }
  }

  return {
    claim: (claim) => propose({ ...claim, ...commandContext(), type: 'claim' }).andThen((reply) =>
      reply.type === 'claim' ? okAsync<ClaimResult, RegisterError>(replyFromWire(reply.result)) : errAsync(unexpected(reply))),
    finish: ({ customer, key }, token, run) =>
      propose({ customer, key, token, ...commandContext(), type: 'finish', run: runToWire(withoutLargeResponse(run)) }).map(() => undefined),
    release: ({ customer, key }, token) => propose({ customer, key, token, ...commandContext(), type: 'release' }).map(() => undefined),
    cancel: ({ customer, key }, token) => propose({ customer, key, token, ...commandContext(), type: 'cancel' }).andThen((reply) =>
      reply.type === 'cancel' ? okAsync<CancelResult, RegisterError>(replyFromWire(reply.result)) : errAsync(unexpected(reply)))
  }
}
