import { createHash } from 'node:crypto'
import { canonicalJson, type Lists, type ListsDelta, type ListsDocument } from '@orioleslip/core'
import type { AuditContent } from '../audit/chain.js'
import type { AuditWindowState } from '../audit/window.js'

/**
 * Content of an edit. The lists are validated against the schema before the command enters the log, and the command carries the
 * result: replicas of different versions may have different schemas, and must not come to different results.
 */
export type EditContent =
  | { kind: 'lists', lists: Lists }
  | { kind: 'invalid', problems: string[], digest: string }

export type EditCommand = {
  kind: 'edit'
  /** Chosen by the sender and unique to this edit; a resend carries the same one. */
  editId: string
  operator: string
  /** Control VM that received the edit, and its time in ms since the Unix epoch. */
  vmId: string
  wallMs: number
  baseRevision: number
  content: EditContent
}

/** Commands of the lists log group. `record` only adds an entry to the audit trail. */
export type ListsCommand = EditCommand | { kind: 'record', entry: AuditContent }

/** Reply of the lists state machine to an edit. */
export type EditReply =
  | { kind: 'accepted', revision: number }
  /** Another edit was accepted first; `revision` is in effect. */
  | { kind: 'conflict', revision: number }
  | { kind: 'invalid', problems: string[] }
  /** The edit id was used for an edit with other content; nothing was changed. */
  | { kind: 'editIdReused', message: string }

export type ListsReply = EditReply | { kind: 'recorded' }

/** Result of an edit, kept so that a resend gets the same reply. */
export type EditResult = { editId: string, digest: string, reply: EditReply }

/** Snapshot of the lists state machine. */
export type ListsState = {
  document: ListsDocument
  deltas: ListsDelta[]
  results: EditResult[]
  audit: AuditWindowState
}

/** Digest of an edit's content, which distinguishes a resend from a reused edit id. */
export function editDigest (cmd: EditCommand): string {
  const { operator, baseRevision, content } = cmd
  return createHash('sha256').update(canonicalJson({ operator, baseRevision, content })).digest('hex')
}
