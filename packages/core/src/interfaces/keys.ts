import type { ResultAsync } from 'neverthrow'

/** Identity of a key: idempotency keys are scoped to the customer. */
export type KeyId = { customer: string, key: string }

/** Complete response of a target, stored to replay it to resends. */
export type StoredResponse = { status: number, headers: string[], body: Uint8Array }

/** Record of a finished run. `answer` is absent when the response was too large to store. */
export type FinishedRun = { status: number, bodySha256: string, answer?: StoredResponse }

export type ClaimResult =
  /** This token may dispatch the call; no other token is granted the key unless this one is released. */
  | { kind: 'granted' }
  /** The key was used with a different operation or body. */
  | { kind: 'mismatch' }
  /** Another attempt has dispatched and no outcome is recorded; with `remainingMs` 0 its deadline has passed and its outcome is unknown. */
  | { kind: 'dispatched', executorVm: string, remainingMs: number }
  | { kind: 'finished', run: FinishedRun }
  /** This token is fenced: cancelled or released before, or too old. */
  | { kind: 'cancelled' }
  /** The key is a UUIDv7 older than the retention time; it may have run before. */
  | { kind: 'expired' }
  /** The register holds its maximum of keys; nothing was recorded. */
  | { kind: 'full' }

export type CancelResult =
  /** The token had not claimed and never will: the call did not run. */
  | { kind: 'cancelled' }
  | { kind: 'dispatched', executorVm: string }
  | { kind: 'finished', run: FinishedRun }

/** The register could not be reached or did not confirm; `outcome` states whether the command may still take effect. */
export type RegisterError = { kind: 'unavailable', outcome: 'not-applied' | 'unknown', message: string }

export type KeyClaim = KeyId & {
  /** Identifies one attempt; generated at the entry node and never reused. */
  token: string
  opKey: string
  /** SHA-256 of method, path, query and body, in hex. */
  requestHash: string
  executorVm: string
  /**
   * Identifies one start of the attempt at one executor process, 16 hex digits. A repeated claim is granted only with the same
   * `claimId`, so that a request head that reaches two executors, or one executor twice, is dispatched once.
   */
  claimId: string
  /** Time left until the deadline of the call, in ms. */
  timeoutMs: number
}

/** Linearizable record of the keys of non-repeatable calls, kept on the control VMs. */
export type KeyRegister = {
  claim: (claim: KeyClaim) => ResultAsync<ClaimResult, RegisterError>
  finish: (id: KeyId, token: string, run: FinishedRun) => ResultAsync<void, RegisterError>
  /** Reverts a claim whose call was certainly not sent to the target. */
  release: (id: KeyId, token: string) => ResultAsync<void, RegisterError>
  /** Fences a token whose call may not have reached its executor. */
  cancel: (id: KeyId, token: string) => ResultAsync<CancelResult, RegisterError>
}
