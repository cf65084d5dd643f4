import { randomUUID } from 'node:crypto'
import type { EditCallReply, GetReply } from '@orioleslip/control/client'
import { diffLists, type Clock, type Lists } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { ControlCalls, Verdict } from '../control-calls.js'
import { EXIT, type CliError, type ExitCode, type Output } from '../exit-codes.js'
import { formatChanges } from '../format-changes.js'
import { checkLists, readListFiles, type ListFileOptions } from '../list-files.js'
import { getCurrent } from './lists-read.js'
import { waitForRevision } from './wait.js'

export type EditOptions = ListFileOptions & { base?: number, editId?: string, wait?: boolean }

type FinalReply = Extract<EditCallReply, { kind: 'accepted' | 'conflict' | 'invalid' | 'editIdReused' }>

function evaluate (reply: EditCallReply): Verdict<FinalReply> {
  switch (reply.kind) {
    case 'accepted':
    case 'conflict':
    case 'invalid':
    case 'editIdReused':
      return { kind: 'take', value: reply }
    case 'notLeader':
    case 'refused':
      return { kind: 'next', message: reply.message, maybeApplied: false }
    case 'outcomeUnknown':
      return { kind: 'next', message: reply.message, maybeApplied: true }
  }
}

/** Completes the lists of an edit: a list without a file is taken from the lists in effect. */
function completeLists (files: Partial<Lists>, current: Result<GetReply, CliError>, base: number): Result<Lists, CliError> {
  if (files.customers !== undefined && files.plans !== undefined) return checkLists({ customers: files.customers, plans: files.plans })
  if (current.isErr()) return err(current.error)
  const { revision, lists } = current.value.document
  if (revision !== base) {
    return err({
      exitCode: EXIT.conflict,
      message: `revision ${revision} is in effect, the file was made from ${base}; get the lists again, repeat the change, and edit`
    })
  }
  return checkLists({ customers: files.customers ?? lists.customers, plans: files.plans ?? lists.plans })
}

function describe (reply: FinalReply, editId: string): { exitCode: ExitCode, text: string } {
  switch (reply.kind) {
    case 'accepted':
      return { exitCode: EXIT.ok, text: `accepted as revision ${reply.revision}` }
    case 'conflict':
      return {
        exitCode: EXIT.conflict,
        text: `conflict: another edit was accepted first, revision ${reply.revision} is in effect and this edit was not applied. ` +
          'Get the lists again ("lists get --out DIR"), repeat the change, and edit. "lists history" shows the other edit.'
      }
    case 'invalid':
      return { exitCode: EXIT.usage, text: ['the control VM rejected the edit as invalid:', ...reply.problems].join('\n  ') }
    case 'editIdReused':
      return { exitCode: EXIT.usage, text: `edit id ${editId}: ${reply.message}` }
  }
}

/** Sends an edit. Retries, and further commands with the same edit id, never apply it twice. */
export async function editLists (
  calls: ControlCalls, options: EditOptions, clock: Clock, note: (line: string) => void
): Promise<Result<Output, CliError>> {
  const files = readListFiles(options)
  if (files.isErr()) return err(files.error)
  const baseRevision = options.base ?? files.value.revision
  if (baseRevision === undefined) {
    return err({ exitCode: EXIT.usage, message: 'the files name no revision; start from "lists get --out DIR", or give the revision with --base' })
  }
  const current = await getCurrent(calls)
  // With a wrong key, the edit is still sent, so that the attempt is recorded in the audit trail.
  if (current.isErr() && current.error.exitCode !== EXIT.denied) return err(current.error)
  const lists = completeLists(files.value, current, baseRevision)
  if (lists.isErr()) return err(lists.error)
  const editId = options.editId ?? randomUUID()
  if (current.isOk()) for (const line of formatChanges(diffLists(current.value.document.lists, lists.value))) note(line)
  // Printed before the edit is sent, so that the user has it when this command is interrupted.
  note(`edit id ${editId} (repeat with --edit-id ${editId} if the reply is lost)`)

  const reply = await calls.request(
    (api) => api.edit.mutate({ editId, baseRevision, lists: lists.value }) as Promise<EditCallReply>, evaluate
  )
  if (reply.isErr()) {
    const { message, exitCode } = reply.error
    const remedy = exitCode === EXIT.unknown ? `\nrun the same command with --edit-id ${editId}: it is applied at most once` : ''
    return err({ exitCode, message: message + remedy, json: { kind: exitCode === EXIT.unknown ? 'unknown' : 'notApplied', editId } })
  }
  const { exitCode, text } = describe(reply.value, editId)
  const json = { ...reply.value, editId, baseRevision }
  if (reply.value.kind !== 'accepted' || options.wait !== true) return ok({ text, json, exitCode })
  const waited = await waitForRevision(calls, reply.value.revision, clock)
  return waited.map((result) => ({
    text: `${text}\n${result.text}`, json: { ...json, ...result.json }, exitCode: result.complete ? EXIT.ok : EXIT.lagging
  }))
}
