import { createHash } from 'node:crypto'
import { canonicalJson, type Lists, type ListsDelta, type ListsDocument } from '@orioleslip/core'
import type { AuditContent } from '../audit/chain.js'
import type { AuditWindowState } from '../audit/window.js'

/**
 * What an edit proposes. Lists are checked against the schema before the command enters the log, and the verdict travels in
 * the command: replicas of different versions may have different schemas, and must not come to different verdicts.
 */
export type EditContent =
  | { kind: 'lists', lists: Lists }
  | { kind: 'invalid', problems: string[], digest: string }

export type EditCommand = {
  kind: 'edit'
  /** Chosen by the sender and unique to this edit; a resend carries the same one. */
  editId: string
  operator: string
  /** Control VM that took the edit, and its time. */
  vmId: string
  wallMs: number
  baseRevision: number
  content: EditContent
}

/** Commands of the lists log group. `record` only adds to the audit trail. */
export type ListsCommand = EditCommand | { kind: 'record', entry: AuditContent }

export type EditReply =
  | { kind: 'accepted', revision: number }
  /** Another edit came first; `revision` is in effect. */
  | { kind: 'conflict', revision: number }
  | { kind: 'invalid', problems: string[] }
  /** The edit id was used for an edit with other content; nothing was changed. */
  | { kind: 'editIdReused', message: string }

export type ListsReply = EditReply | { kind: 'recorded' }

/** Remembered result of an edit. */
export type EditResult = { editId: string, digest: string, reply: EditReply }

/** Snapshot of the lists state machine. */
export type ListsState = {
  document: ListsDocument
  deltas: ListsDelta[]
  results: EditResult[]
  audit: AuditWindowState
}

/** Identifies the content of an edit, to tell a resend from a reused edit id. */
export function editDigest (cmd: EditCommand): string {
  const { operator, baseRevision, content } = cmd
  return createHash('sha256').update(canonicalJson({ operator, baseRevision, content })).digest('hex')
}
