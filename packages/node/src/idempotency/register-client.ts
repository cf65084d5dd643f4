import { err, ok, type Result, type ResultAsync } from 'neverthrow'
import { keyReplies, replyFromWire, runToWire, type CancelResult, type ClaimResult, type KeyRegister, type RegisterError } from '@orioleslip/core'
import type { z } from 'zod'

/** Calls a procedure of the control API, such as `keys.claim`, at the control VM that is the leader. */
export type ControlCall = (procedure: string, input: object) => ResultAsync<unknown, RegisterError>

function parse<Schema extends z.ZodType> (schema: Schema, value: unknown): Result<z.output<Schema>, RegisterError> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return ok(parsed.data)
  // The command was applied, but its result can't be parsed.
  return err({ kind: 'unavailable', outcome: 'unknown', message: `malformed reply of the key register: ${parsed.error.issues[0]?.message ?? ''}` })
}

/** Creates the client of the key register that nodes use; inputs and replies have the JSON form of `keyInputs` and `keyReplies`. */
export function createRegisterClient (call: ControlCall): KeyRegister {
  return {
    claim: ({ customer, key, token, opKey, requestHash, executorVm, claimId, timeoutMs }) =>
      call('keys.claim', { customer, key, token, opKey, requestHash, executorVm, claimId, timeoutMs })
        .andThen((value) => parse(keyReplies.claim, value))
        .map((reply): ClaimResult => replyFromWire(reply)),
    finish: ({ customer, key }, token, run) => call('keys.finish', { customer, key, token, run: runToWire(run) }).map(() => undefined),
    release: ({ customer, key }, token) => call('keys.release', { customer, key, token }).map(() => undefined),
    cancel: ({ customer, key }, token) => call('keys.cancel', { customer, key, token })
      .andThen((value) => parse(keyReplies.cancel, value))
      .map((reply): CancelResult => replyFromWire(reply))
  }
}
