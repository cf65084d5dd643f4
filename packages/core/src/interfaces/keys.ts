import type { ResultAsync } from 'neverthrow'

/** Identity of a key: idempotency keys are scoped to the customer. */
export type KeyId = { customer: string, key: string }

/** Complete answer of a target, kept for resends. */
export type StoredAnswer = { status: number, headers: string[], body: Uint8Array }

/** What the register knows about a finished run. `answer` is absent when it was too large to keep. */
export type FinishedRun = { status: number, bodySha256: string, answer?: StoredAnswer }

export type ClaimResult =
  /** This token may dispatch, and no other ever will unless it is released. */
  | { kind: 'granted' }
  /** The key was used with a different operation or body. */
  | { kind: 'mismatch' }
  /** Another token has dispatched and no outcome is recorded. */
  | { kind: 'dispatched', executorVm: string }
  | { kind: 'finished', run: FinishedRun }
  /** This token was cancelled before its claim arrived. */
  | { kind: 'cancelled' }
  /** The register holds its maximum of keys; nothing was recorded. */
  | { kind: 'full' }

export type CancelResult =
  /** The token had not claimed and never will: the call did not run. */
  | { kind: 'cancelled' }
  | { kind: 'dispatched', executorVm: string }
  | { kind: 'finished', run: FinishedRun }

/** `outcome` tells whether the command may still take effect. */
export type RegisterError = { kind: 'unavailable', outcome: 'not-applied' | 'unknown', message: string }

export type KeyClaim = KeyId & {
  /** Names one attempt; minted at the entry node and unique for ever. */
  token: string
  opKey: string
  /** SHA-256 of method, path, query and body, in hex. */
  requestHash: string
  executorVm: string
}

/** Linearizable record of the keys of non-repeatable calls, kept on the control VMs. */
export type KeyRegister = {
  claim: (claim: KeyClaim) => ResultAsync<ClaimResult, RegisterError>
  finish: (id: KeyId, token: string, run: FinishedRun) => ResultAsync<void, RegisterError>
  /** Undoes a claim whose call was certainly not sent to the target. */
  release: (id: KeyId, token: string) => ResultAsync<void, RegisterError>
  /** Fences a token whose call may not have reached its executor. */
  cancel: (id: KeyId, token: string) => ResultAsync<CancelResult, RegisterError>
}
