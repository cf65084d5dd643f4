import type { WireCancelResult, WireClaimResult, WireRun } from '@orioleslip/core'

/**
 * Time after its creation during which a token may claim, in ms. It exceeds the longest deadline (1 h) by 1 h for clock differences
 * between nodes and control VMs. An older token is refused without a lookup, so its fence need not be remembered any longer.
 */
export const TOKEN_LIFETIME_MS = 7_200_000

/** Keys dated further ahead than this are treated as keys without a time; otherwise they would occupy a record for years. */
export const KEY_FUTURE_LIMIT_MS = 3_600_000

/** Time after its deadline during which a call still counts as running, in ms: its executor may be recording the answer meanwhile. */
export const FINISH_GRACE_MS = 2000

/** Fences kept at most; about 60 MB. Beyond it a cancel is refused and the caller is told `unknown`. */
export const FENCE_LIMIT = 500_000

/** Volume shared by the stored answers, in bytes. */
export const ANSWER_VOLUME_BYTES = 64 * 1024 * 1024

/** Largest body that is stored, in bytes. */
export const STORED_BODY_LIMIT_BYTES = 16 * 1024

/** Largest stored answer with its headers, in bytes; the length field of a record has 16 bits. */
export const STORED_ANSWER_LIMIT_BYTES = 65_535

/**
 * Chosen by the leader for each command. The limits travel in the commands because replicas whose settings differ for a while
 * must still apply each command alike.
 */
export type Stamp = { wallMs: number, retentionMs: number, keyLimit: number }

type Id = { customer: string, key: string, token: string }

/** Commands of the key register's log, in JSON. */
export type KeyCommand = Stamp & (
  | Id & { type: 'claim', opKey: string, requestHash: string, executorVm: string, claimId: string, timeoutMs: number }
  | Id & { type: 'finish', run: WireRun }
  | Id & { type: 'release' }
  | Id & { type: 'cancel' }
)

/** Replies of the state machine, in JSON since a follower may forward proposals. */
export type KeyReply =
  | { type: 'claim', result: WireClaimResult }
  | { type: 'done' }
  | { type: 'cancel', result: WireCancelResult }
  /** The register can't decide a cancel: the token is too old or all fences are in use. */
  | { type: 'undecided', message: string }
