import { diffRoutes, type DocumentChange, type RouteList, type RoutesDelta, type RoutesDocument, type StateMachine } from '@orioleslip/core'
import { createDeltaWindow } from '../documents/delta-window.js'
import { replacementDigest, type AcceptedReplacement, type RoutesCommand, type RoutesReply, type RoutesState } from './commands.js'

/** Change that brings a node from the revision it has to the one in effect. */
export type RoutesChange = DocumentChange<RoutesDocument, RoutesDelta>

export type RoutesStateMachine = StateMachine<RoutesCommand, RoutesReply, RoutesState> & {
  /** The revision in effect; 0 before the first replacement. */
  revision: () => number
  document: () => RoutesDocument | undefined
  /** Deltas after a revision, or the full document when they are no longer kept. */
  since: (revision: number) => RoutesChange
}

/** Number of accepted replacements kept for resends; about a week at the design figure of 570 changes a day. */
export const MAX_ACCEPTED_REPLACEMENTS = 4000

/** Deltas kept for lagging nodes; a node that lags by more gets the whole document. */
export const DELTA_LIMITS = { deltas: 50, bytes: 1024 * 1024 }

/** Creates the state machine of the routes. */
export function createRoutesStateMachine (): RoutesStateMachine {
  let document: RoutesDocument | undefined
  let accepted: AcceptedReplacement[] = []
  const deltas = createDeltaWindow<RoutesDelta>(DELTA_LIMITS)
  const revision = () => document?.revision ?? 0

  const keepDelta = (before: RoutesDocument | undefined, after: RoutesDocument) => {
    const delta = before === undefined ? undefined : diffRoutes(before, after)
    if (delta === undefined) deltas.clear()
    else deltas.add(delta)
  }

  const since = (known: number): RoutesChange => {
    // A node without a document reports revision -1 and waits for the first document.
    if (document === undefined || known >= document.revision) return { kind: 'unchanged', revision: document?.revision ?? -1 }
    const missing = deltas.after(known)
    if (missing !== undefined) return { kind: 'deltas', deltas: missing.deltas }
    return { kind: 'full', document: { revision: document.revision, list: withoutSource(document.list) } }
  }

  return {
    apply: (_index, cmd) => {
      const digest = replacementDigest(cmd)
      if (accepted.some((known) => known.revision === cmd.revision && known.digest === digest)) return { kind: 'accepted', revision: cmd.revision }
      if (cmd.baseRevision !== revision()) return { kind: 'conflict', revision: revision() }
      if (cmd.revision <= revision()) return { kind: 'outdated', revision: revision() }
      const next = { revision: cmd.revision, list: cmd.list }
      keepDelta(document, next)
      document = next
      accepted.push({ revision: cmd.revision, digest })
      if (accepted.length > MAX_ACCEPTED_REPLACEMENTS) accepted.shift()
      return { kind: 'accepted', revision: cmd.revision }
    },
    snapshot: () => ({ document: document ?? null, accepted: [...accepted] }),
    restore: (state) => {
      document = state.document ?? undefined
      deltas.clear()
      accepted = [...state.accepted]
    },
    revision,
    document: () => document,
    since
  }
}

function withoutSource ({ limits, services, routes }: RouteList): RouteList {
  return { limits, services, routes }
}
