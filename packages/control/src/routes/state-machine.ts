import type { RouteList, RoutesDocument, StateMachine } from '@orioleslip/core'
import { replacementDigest, type AcceptedReplacement, type RoutesCommand, type RoutesReply, type RoutesState } from './commands.js'

/** What a node at some version needs to reach the one in effect. */
export type RoutesChange =
  | { kind: 'unchanged', revision: number }
  | { kind: 'full', document: RoutesDocument }

export type RoutesMachine = StateMachine<RoutesCommand, RoutesReply, RoutesState> & {
  /** The version in effect; 0 before the first replacement. */
  revision: () => number
  document: () => RoutesDocument | undefined
  since: (revision: number) => RoutesChange
}

/** Accepted replacements remembered for resends; about a week at the design figure of 570 changes a day. */
export const MAX_ACCEPTED = 4000

/** Creates the state machine of the routes. */
export function createRoutesMachine (): RoutesMachine {
  let document: RoutesDocument | undefined
  let accepted: AcceptedReplacement[] = []
  const revision = () => document?.revision ?? 0

  return {
    apply: (_index, cmd) => {
      const digest = replacementDigest(cmd)
      if (accepted.some((known) => known.revision === cmd.revision && known.digest === digest)) return { kind: 'accepted', revision: cmd.revision }
      if (cmd.baseRevision !== revision()) return { kind: 'conflict', revision: revision() }
      if (cmd.revision <= revision()) return { kind: 'outdated', revision: revision() }
      document = { revision: cmd.revision, list: cmd.list }
      accepted.push({ revision: cmd.revision, digest })
      if (accepted.length > MAX_ACCEPTED) accepted.shift()
      return { kind: 'accepted', revision: cmd.revision }
    },
    snapshot: () => ({ document: document ?? null, accepted: [...accepted] }),
    restore: (state) => {
      document = state.document ?? undefined
      accepted = [...state.accepted]
    },
    revision,
    document: () => document,
    // A node without a document reports version -1 and waits for the first one.
    since: (known) => document === undefined || known >= document.revision
      ? { kind: 'unchanged', revision: document?.revision ?? -1 }
      : { kind: 'full', document: { revision: document.revision, list: withoutSource(document.list) } }
  }
}

function withoutSource ({ limits, services, routes }: RouteList): RouteList {
  return { limits, services, routes }
}
