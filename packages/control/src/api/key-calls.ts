import type { RegisterError, ReplicatedLog, StateMachine } from '@orioleslip/core'
import type { ResultAsync } from 'neverthrow'

/** Procedures of the key register, in the order in which a call may use them. */
export const KEY_PROCEDURES = ['claim', 'finish', 'release', 'cancel'] as const
export type KeyProcedure = typeof KEY_PROCEDURES[number]

/** Result of a key register procedure as sent to nodes. */
export type KeyCallReply = { kind: 'done', value?: unknown } | { kind: 'failed', problem: RegisterError }

export type KeyCalls = (procedure: KeyProcedure, input: unknown) => Promise<KeyCallReply>

/** The key register as `startControl` uses it: its state machine, and its procedures on top of the log group. */
export type KeyGroup = {
  machine: StateMachine<unknown, unknown, unknown>
  /** Input and value are JSON-compatible; the procedure refuses input of another shape. */
  connect: (log: ReplicatedLog<unknown, unknown>) => (procedure: KeyProcedure, input: unknown) => ResultAsync<unknown, RegisterError>
}

/** Connects the key register to its log group. The log forwards commands to the leader. */
export function createKeyCalls (group: KeyGroup, log: ReplicatedLog<unknown, unknown>): KeyCalls {
  const call = group.connect(log)
  return async (procedure, input) => (await call(procedure, input)).match(
    (value): KeyCallReply => ({ kind: 'done', value }),
    (problem): KeyCallReply => ({ kind: 'failed', problem }))
}
