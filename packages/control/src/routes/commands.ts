import { createHash } from 'node:crypto'
import { canonicalJson, type RouteList, type RoutesDocument } from '@orioleslip/core'

/** Replaces the whole route list; the list was checked against the schema before it enters the log. */
export type RoutesCommand = {
  kind: 'replace'
  /** Version that the sender built on; 0 before the first one. */
  baseRevision: number
  /** Version chosen by the sender. */
  revision: number
  list: RouteList
}

export type RoutesReply =
  /** In effect, now or when the same replacement was sent before. */
  | { kind: 'accepted', revision: number }
  /** Another version is in effect. */
  | { kind: 'conflict', revision: number }
  /** The version is not above the one in effect. */
  | { kind: 'outdated', revision: number }

/** A replacement that was accepted, so that a resend gets the same reply. */
export type AcceptedReplacement = { revision: number, digest: string }

/** Snapshot of the routes state machine; `document` is null before the first replacement. */
export type RoutesState = { document: RoutesDocument | null, accepted: AcceptedReplacement[] }

/** Identifies a replacement, to tell a resend from another one with the same version. */
export function replacementDigest ({ baseRevision, revision, list }: RoutesCommand): string {
  return createHash('sha256').update(canonicalJson({ baseRevision, revision, list })).digest('hex')
}
