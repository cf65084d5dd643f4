import type { ReplicatedLog, RouteList, RoutesDocument } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { ConfirmCurrent } from '../api/shared-confirm.js'
import type { RoutesCommand, RoutesReply } from './commands.js'
import type { RoutesStateMachine } from './state-machine.js'

/** Result of a replacement of the routes. */
export type ReplaceReply =
  | RoutesReply
  /** The replacement exceeds a limit of the log, which `message` names; nothing was changed. */
  | { kind: 'tooLarge', message: string }
  /** Nothing was changed; the replacement can be sent to another control VM, or again later. */
  | { kind: 'unavailable', message: string }
  /** The replacement may be in effect or take effect later; a resend returns the outcome. */
  | { kind: 'unknown', message: string }

export type Replacement = { baseRevision: number, revision: number, list: RouteList }

/** Operations on routes, for operators. */
export type RoutesService = {
  replace: (replacement: Replacement) => Promise<ReplaceReply>
  /** The document in effect; `unavailable` when this control VM can't confirm that its document is the latest. */
  current: () => Promise<{ kind: 'current', document: RoutesDocument | undefined } | { kind: 'unavailable', message: string }>
}

export type RoutesServiceOptions = {
  routes: Pick<ReplicatedLog<RoutesCommand, RoutesReply>, 'propose' | 'status'>
  machine: RoutesStateMachine
  confirm: ConfirmCurrent
  /** Number of voters below which replacements are refused: fewer voters could not survive the promised loss of disks. */
  minVoters: number
  log: Logger
}

/** Creates the operations on routes on top of the routes log. */
export function createRoutesService (options: RoutesServiceOptions): RoutesService {
  const { routes, machine, confirm, minVoters, log } = options

  /** What this replica believes, so that the logs show on which state a reply was based. */
  const position = () => {
    const { role, term, commitIndex, leaseMs, members } = routes.status()
    const voters = members.filter((member) => member.voter).map((member) => member.vmId)
    return { role, term, commitIndex, leaseMs: Math.round(leaseMs), voters }
  }

  const replace = async ({ baseRevision, revision, list }: Replacement): Promise<ReplaceReply> => {
    const voters = routes.status().members.filter((member) => member.voter).length
    if (voters < minVoters) return { kind: 'unavailable', message: `the routes log group has ${voters} voters and needs ${minVoters}; wait until the other control VMs have joined` }
    const res = await routes.propose({ kind: 'replace', baseRevision, revision, list })
    return res.match<ReplaceReply>((reply) => reply, ({ kind, message }) => {
      switch (kind) {
        case 'tooLarge': return { kind, message }
        case 'outcomeUnknown': return { kind: 'unknown', message }
        case 'notLeader': case 'refused': return { kind: 'unavailable', message }
      }
    })
  }

  return {
    replace: async (replacement) => {
      const answer = await replace(replacement)
      const { baseRevision, revision, list } = replacement
      log.info({ event: 'routes-replace', baseRevision, revision, routes: list.routes.length, answer, replica: position() }, 'processed a replacement of the routes')
      return answer
    },
    current: async () => {
      const confirmed = await confirm()
      const revision = machine.document()?.revision ?? 0
      const problem = confirmed.isErr() ? { problem: confirmed.error.message } : {}
      log.info({ event: 'routes-read', revision, replica: position(), ...problem }, 'processed a read of the routes')
      return confirmed.isErr() ? { kind: 'unavailable', message: confirmed.error.message } : { kind: 'current', document: machine.document() }
    }
  }
}
