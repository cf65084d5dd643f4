import type { WireCancelResult, WireClaimResult, WireRun } from '@orioleslip/core'

/**
 * Time after its creation during which a token may claim, in ms. It exceeds the longest deadline (1 h) by 1 h for clock differences
 * between nodes and control VMs. An older token is refused without a lookup, so its fence need not be kept any longer.
 */
export const TOKEN_LIFETIME_MS = 7_200_000

/** UUIDv7 keys dated further ahead than this, in ms, are treated as keys without a time; otherwise they would occupy a record for years. */
export const KEY_FUTURE_LIMIT_MS = 3_600_000

/** Time after its deadline during which a call still counts as running, in ms: its executor may still be recording the response. */
export const FINISH_GRACE_MS = 2000

/** Maximum number of fences, about 60 MB. Beyond it a cancel is refused and the caller gets the outcome `unknown`. */
export const FENCE_LIMIT = 500_000

/** Size of the ring that holds the stored responses, in bytes. */
export const RESPONSE_RING_BYTES = 64 * 1024 * 1024

/** Largest response body that is stored, in bytes. */
export const STORED_BODY_LIMIT_BYTES = 16 * 1024

/** Largest stored response with its headers, in bytes; the length field of a record has 16 bits. */
export const STORED_RESPONSE_LIMIT_BYTES = 65_535

/**
 * Time and limits, set by the control VM that proposes the command. They travel in the commands because replicas whose settings
 * differ for a while must still apply each command alike.
 */
export type CommandContext = { wallMs: number, retentionMs: number, keyLimit: number }

/** A key and the token of one attempt at its call. */
type AttemptId = { customer: string, key: string, token: string }

/** Commands of the key register's log, JSON-compatible. */
export type KeyCommand = CommandContext & (
  | AttemptId & { type: 'claim', opKey: string, requestHash: string, executorVm: string, claimId: string, timeoutMs: number }
  | AttemptId & { type: 'finish', run: WireRun }
  | AttemptId & { type: 'release' }
  | AttemptId & { type: 'cancel' }
)

/** Replies of the state machine, JSON-compatible since a follower may forward proposals. */
export type KeyReply =
  | { type: 'claim', result: WireClaimResult }
  | { type: 'done' }
  | { type: 'cancel', result: WireCancelResult }
  /** The register can't decide a cancel: the token is too old or all fences are in use. */
  | { type: 'undecided', message: string }
