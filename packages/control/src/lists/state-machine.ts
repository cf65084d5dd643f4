import {
  diffLists, EMPTY_DOCUMENT, listsDigest, type DocumentChange, type ListsDelta, type ListsDocument, type StateMachine
} from '@orioleslip/core'
import type { AuditAnchor, AuditEntry } from '../audit/chain.js'
import { createAuditWindow } from '../audit/window.js'
import { createDeltaWindow } from '../documents/delta-window.js'
import { editDigest, type EditCommand, type EditReply, type EditResult, type ListsCommand, type ListsReply, type ListsState } from './commands.js'

/** Change that brings a node from the revision it has to the one in effect. */
export type ListsChange = DocumentChange<ListsDocument, ListsDelta>

export type ListsStateMachine = StateMachine<ListsCommand, ListsReply, ListsState> & {
  revision: () => number
  document: () => ListsDocument
  digest: () => string
  /** Changes after a revision; the full document when the deltas in between are no longer kept or are larger than it. */
  since: (revision: number) => ListsChange
  auditAnchor: () => AuditAnchor
  auditHead: () => AuditAnchor
  auditEntries: () => readonly AuditEntry[]
}

/**
 * Number of edit results kept, about three days at the design figure of 570 changes a day. A later resend is evaluated again but
 * can't be applied twice: an accepted edit raised the revision above its own base revision for good, so the resend gets `conflict`.
 */
export const MAX_EDIT_RESULTS = 2000

const DELTA_LIMITS = { deltas: 300, bytes: 1024 * 1024 }

/** Creates the state machine of the lists. `onAudit` is called with each new audit entry, also during replay. */
export function createListsStateMachine (onAudit: (entry: AuditEntry) => void = () => {}): ListsStateMachine {
  const audit = createAuditWindow()
  let document = EMPTY_DOCUMENT
  let digest = listsDigest(document.lists)
  let documentBytes = sizeOf(document)
  const deltas = createDeltaWindow<ListsDelta>(DELTA_LIMITS)
  let results = new Map<string, EditResult>()

  function sizeOf (value: unknown): number {
    return Buffer.byteLength(JSON.stringify(value))
  }

  function rememberResult (result: EditResult): void {
    results.set(result.editId, result)
    if (results.size > MAX_EDIT_RESULTS) results.delete(results.keys().next().value!)
  }

  function evaluate (cmd: EditCommand): EditReply {
    if (cmd.content.kind === 'invalid') return { kind: 'invalid', problems: cmd.content.problems }
    if (cmd.baseRevision > document.revision) {
      const problem = `baseRevision ${cmd.baseRevision} does not exist yet; revision ${document.revision} is in effect`
      return { kind: 'invalid', problems: [problem] }
    }
    if (cmd.baseRevision !== document.revision) return { kind: 'conflict', revision: document.revision }
    return { kind: 'accepted', revision: document.revision + 1 }
  }

  function recordEdit (cmd: EditCommand, reply: EditReply, changes: ListsDelta['changes']): void {
    const { wallMs, vmId, operator, editId, baseRevision } = cmd
    const outcome = reply.kind === 'editIdReused' ? { kind: reply.kind } : reply
    onAudit(audit.append({ wallMs, vmId, operator, action: 'edit', editId, baseRevision, changes, outcome }))
  }

  function applyEdit (cmd: EditCommand): EditReply {
    const cmdDigest = editDigest(cmd)
    const previous = results.get(cmd.editId)
    if (previous?.digest === cmdDigest) return previous.reply
    if (previous !== undefined) {
      const message = `edit id "${cmd.editId}" was used for another edit; choose a new id`
      const reply: EditReply = { kind: 'editIdReused', message }
      recordEdit(cmd, reply, [])
      return reply
    }
    const reply = evaluate(cmd)
    const changes = cmd.content.kind === 'lists' ? diffLists(document.lists, cmd.content.lists) : []
    if (reply.kind === 'accepted' && cmd.content.kind === 'lists') {
      const from = document.revision
      document = { revision: reply.revision, lists: cmd.content.lists }
      digest = listsDigest(document.lists)
      documentBytes = sizeOf(document)
      deltas.add({ from, to: document.revision, digest, changes })
    }
    rememberResult({ editId: cmd.editId, digest: cmdDigest, reply })
    recordEdit(cmd, reply, changes)
    return reply
  }

  function since (revision: number): ListsChange {
    if (revision >= document.revision) return { kind: 'unchanged', revision: document.revision }
    const missing = deltas.after(revision)
    if (missing === undefined || missing.bytes > documentBytes) return { kind: 'full', document }
    return { kind: 'deltas', deltas: missing.deltas }
  }

  return {
    apply: (_index, cmd) => {
      if (cmd.kind === 'edit') return applyEdit(cmd)
      onAudit(audit.append(cmd.entry))
      return { kind: 'recorded' }
    },
    snapshot: () => ({ document, deltas: deltas.all(), results: [...results.values()], audit: audit.snapshot() }),
    restore: (state) => {
      document = state.document
      digest = listsDigest(document.lists)
      documentBytes = sizeOf(document)
      deltas.clear()
      for (const delta of state.deltas) deltas.add(delta)
      results = new Map(state.results.map((result) => [result.editId, result]))
      audit.restore(state.audit)
      // The archive ignores the entries that it already has.
      for (const entry of state.audit.entries) onAudit(entry)
    },
    revision: () => document.revision,
    document: () => document,
    digest: () => digest,
    since,
    auditAnchor: audit.anchor,
    auditHead: audit.head,
    auditEntries: audit.entries
  }
}
