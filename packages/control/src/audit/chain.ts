import { createHash } from 'node:crypto'
import { canonicalJson, type ListChange } from '@orioleslip/core'

/** Outcome of an audited action. */
export type AuditOutcome =
  | { kind: 'accepted', revision: number }
  /** Another edit was accepted first; `revision` was in effect. */
  | { kind: 'conflict', revision: number }
  | { kind: 'invalid', problems: string[] }
  /** The edit id had been used for an edit with other content. */
  | { kind: 'editIdReused' }
  /** Refused before it reached the lists log; `unauthenticated` when the sender could not be identified. */
  | { kind: 'refused', unauthenticated: boolean, reason: string }

/** Content of an audit entry, before it is added to the chain. */
export type AuditContent = {
  /** Time at the control VM that received the request, in ms since the Unix epoch. */
  wallMs: number
  /** Control VM that received the request. */
  vmId: string
  /** Name of the operator; for unauthenticated attempts the name they claimed. */
  operator: string
  action: 'edit' | 'clusterInit'
  editId?: string
  /** Revision that the edit was made from. */
  baseRevision?: number
  /** Differences from the revision that was in effect when the edit was applied. */
  changes: ListChange[]
  outcome: AuditOutcome
  /** Similar attempts since the last entry that were counted but not recorded one by one. */
  suppressed?: number
}

/** Entry of the audit trail, a hash chain; `hash` covers the content and the hash of the previous entry. */
export type AuditEntry = AuditContent & { seq: number, prevHash: string, hash: string }

/** Position in the chain: the sequence number and hash of an entry. */
export type AuditAnchor = { seq: number, hash: string }

/** Anchor of an empty chain, before the first entry. */
export const GENESIS: AuditAnchor = { seq: 0, hash: '0'.repeat(64) }

/** Fault found in a chain of entries; `seq` is the entry where it was found. */
export type ChainFault = { kind: 'chainFault', seq: number, message: string }

function entryHash (entry: Omit<AuditEntry, 'hash'>): string {
  return createHash('sha256').update(canonicalJson(entry)).digest('hex')
}

/** Creates the entry with this content that follows the anchor. */
export function chainEntry (after: AuditAnchor, content: AuditContent): AuditEntry {
  const entry = { ...content, seq: after.seq + 1, prevHash: after.hash }
  return { ...entry, hash: entryHash(entry) }
}

/** Checks that the entries follow the anchor without a gap or a change; returns the anchor after them, or the first fault. */
export function verifyChain (after: AuditAnchor, entries: Iterable<AuditEntry>): AuditAnchor | ChainFault {
  let anchor = after
  for (const entry of entries) {
    const fault = (message: string): ChainFault => ({ kind: 'chainFault', seq: entry.seq, message })
    if (entry.seq !== anchor.seq + 1) return fault(`entry ${anchor.seq + 1} is missing; found ${entry.seq}`)
    if (entry.prevHash !== anchor.hash) return fault(`entry ${entry.seq} does not follow entry ${anchor.seq}; one of them was changed`)
    const { hash, ...rest } = entry
    if (entryHash(rest) !== hash) return fault(`entry ${entry.seq} was changed after it was written`)
    anchor = { seq: entry.seq, hash }
  }
  return anchor
}
