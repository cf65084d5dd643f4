import type { ReplicatedLog, RouteList, RoutesDocument } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { ConfirmCurrent } from '../api/shared-confirm.js'
import type { RoutesCommand, RoutesReply } from './commands.js'
import type { RoutesStateMachine } from './state-machine.js'

/** Result of a replacement of the routes. */
export type ReplaceReply =
  | RoutesReply
  /** Nothing was changed; another control VM, or this one later, may take it. */
  | { kind: 'unavailable', message: string }
  /** The replacement may be or come into effect; a resend gets a clear answer. */
  | { kind: 'unknown', message: string }

export type Replacement = { baseRevision: number, revision: number, list: RouteList }

/** What operators do with routes. */
export type RoutesService = {
  replace: (replacement: Replacement) => Promise<ReplaceReply>
  /** The document in effect; an error when this control VM can't be sure that none is newer. */
  current: () => Promise<{ kind: 'current', document: RoutesDocument | undefined } | { kind: 'unavailable', message: string }>
}

export type RoutesServiceOptions = {
  routes: Pick<ReplicatedLog<RoutesCommand, RoutesReply>, 'propose' | 'status'>
  machine: RoutesStateMachine
  confirm: ConfirmCurrent
  /** Voters that the group must have before it accepts anything: fewer could not bear the promised loss of disks. */
  minVoters: number
  log: Logger
}

/** Creates the operations on routes. */
export function createRoutesService (options: RoutesServiceOptions): RoutesService {
  const { routes, machine, confirm, minVoters, log } = options

  const replace = async ({ baseRevision, revision, list }: Replacement): Promise<ReplaceReply> => {
    const voters = routes.status().members.filter((member) => member.voter).length
    if (voters < minVoters) return { kind: 'unavailable', message: `the group has ${voters} voters and needs ${minVoters}; wait until the other control VMs have joined` }
    const res = await routes.propose({ kind: 'replace', baseRevision, revision, list })
    return res.match<ReplaceReply>((reply) => reply, (problem) => problem.kind === 'outcomeUnknown'
      ? { kind: 'unknown', message: problem.message }
      : { kind: 'unavailable', message: problem.message })
  }

  return {
    replace: async (replacement) => {
      const answer = await replace(replacement)
      const { baseRevision, revision, list } = replacement
      log.info({ event: 'routes-replace', baseRevision, revision, routes: list.routes.length, answer }, 'replacement of the routes')
      return answer
    },
    current: async () => {
      const confirmed = await confirm()
      return confirmed.isErr() ? { kind: 'unavailable', message: confirmed.error.message } : { kind: 'current', document: machine.document() }
    }
  }
}
