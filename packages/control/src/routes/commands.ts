import { createHash } from 'node:crypto'
import { canonicalJson, type RouteList, type RoutesDocument } from '@orioleslip/core'

/** Replaces the whole route list, which is validated against the schema before the command enters the log. */
export type RoutesCommand = {
  kind: 'replace'
  /** Revision that the new list was made from; 0 before the first one. */
  baseRevision: number
  /** New revision, chosen by the sender. */
  revision: number
  list: RouteList
}

export type RoutesReply =
  /** In effect, now or since the same replacement was first sent. */
  | { kind: 'accepted', revision: number }
  /** `baseRevision` is not in effect; `revision` is. */
  | { kind: 'conflict', revision: number }
  /** The new revision is not above the one in effect, which is `revision`. */
  | { kind: 'outdated', revision: number }

/** An accepted replacement, kept so that a resend gets the same reply. */
export type AcceptedReplacement = { revision: number, digest: string }

/** Snapshot of the routes state machine; `document` is null before the first replacement. */
export type RoutesState = { document: RoutesDocument | null, accepted: AcceptedReplacement[] }

/** Digest of a replacement, which distinguishes a resend from another replacement with the same revision. */
export function replacementDigest ({ baseRevision, revision, list }: RoutesCommand): string {
  return createHash('sha256').update(canonicalJson({ baseRevision, revision, list })).digest('hex')
}
