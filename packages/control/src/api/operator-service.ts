import { createHash } from 'node:crypto'
import { canonicalJson, describeProblems, isNestedDeeperThan, listsSchema, MAX_NESTING, type Clock, type ListsDocument, type ProposeError, type ReplicatedLog } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { AuditEntry } from '../audit/chain.js'
import type { EditContent, EditReply, ListsCommand, ListsReply } from '../lists/commands.js'
import type { ListsStateMachine } from '../lists/state-machine.js'
import type { EditInput } from './edit-schema.js'
import type { ConfirmCurrent } from './shared-confirm.js'

/** Reply to an edit. Only `outcomeUnknown` leaves open whether the edit is accepted; a resend with the same edit id returns the outcome. */
export type EditCallReply = EditReply | Exclude<ProposeError, { kind: 'tooLarge' }>

/** Lists as replicated on this control VM; `confirmed` is false when a later revision may be in effect. */
export type GetReply = { document: ListsDocument, digest: string, confirmed: boolean, reason?: string }

/** An accepted edit. */
export type HistoryEntry = { revision: number, wallMs: number, operator: string, editId: string, changes: AuditEntry['changes'] }

export type OperatorService = {
  edit: (operator: string, input: EditInput) => Promise<EditCallReply>
  get: () => Promise<GetReply>
  /** The latest accepted edits, newest first. */
  history: (limit: number) => HistoryEntry[]
}

function checkLists (raw: unknown): EditContent {
  if (isNestedDeeperThan(raw, MAX_NESTING)) {
    return { kind: 'invalid', problems: [`the lists have more than ${MAX_NESTING} levels of arrays and objects`], digest: '' }
  }
  const res = listsSchema.safeParse(raw)
  if (res.success) return { kind: 'lists', lists: res.data }
  return { kind: 'invalid', problems: describeProblems(res.error), digest: createHash('sha256').update(canonicalJson(raw ?? null)).digest('hex') }
}

/** Creates the operations that operators call. */
export function createOperatorService (options: {
  vmId: string
  lists: Pick<ReplicatedLog<ListsCommand, ListsReply>, 'propose'>
  machine: ListsStateMachine
  confirm: ConfirmCurrent
  clock: Clock
  log: Logger
}): OperatorService {
  const { vmId, lists, machine, confirm, clock, log } = options
  return {
    edit: async (operator, input) => {
      const { editId, baseRevision } = input
      const content = checkLists(input.lists)
      const res = await lists.propose({ kind: 'edit', editId, operator, vmId, wallMs: clock.wallMs(), baseRevision, content })
      const answer = res.match((reply) => reply, (problem) => problem.kind === 'tooLarge' ? { kind: 'invalid' as const, problems: [problem.message] } : problem)
      log.info({ editId, operator, baseRevision, answer }, 'Processed an edit of the lists')
      if (answer.kind === 'recorded') throw new Error(`the lists log replied to edit ${editId} with the reply to another command`)
      return answer
    },
    get: async () => {
      const current = await confirm()
      const reason = current.isErr() ? { reason: current.error.message } : {}
      return { document: machine.document(), digest: machine.digest(), confirmed: current.isOk(), ...reason }
    },
    history: (limit) => {
      const entries: HistoryEntry[] = []
      for (const { action, outcome, wallMs, operator, editId = '', changes } of [...machine.auditEntries()].reverse()) {
        if (entries.length >= limit) break
        if (action === 'edit' && outcome.kind === 'accepted') entries.push({ revision: outcome.revision, wallMs, operator, editId, changes })
      }
      return entries
    }
  }
}
