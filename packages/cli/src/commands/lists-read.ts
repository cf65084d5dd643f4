import type { GetReply, HistoryEntry } from '@orioleslip/control/client'
import { diffLists } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { ControlCalls } from '../control-calls.js'
import { EXIT, type CliError, type Output } from '../exit-codes.js'
import { formatChanges } from '../format-changes.js'
import { checkLists, formatListFiles, readListFiles, writeListFiles, type ListFileOptions } from '../list-files.js'
import { formatTable, formatTime } from '../table.js'

/** Reads the lists in effect; returns an unconfirmed copy only when no control VM can confirm that its copy is current. */
export function getCurrent (calls: ControlCalls): Promise<Result<GetReply, CliError>> {
  return calls.request((api) => api.get.query() as Promise<GetReply>, (reply) => reply.confirmed
    ? { kind: 'take', value: reply }
    : { kind: 'next', message: reply.reason ?? 'not confirmed', maybeApplied: false, fallback: reply })
}

const UNCONFIRMED = '# Not confirmed: a later revision may be in effect.\n'

/** `lists validate`: validates list files without contacting a control VM. */
export function validateLists (options: ListFileOptions): Result<Output, CliError> {
  if (options.customers === undefined || options.plans === undefined) {
    return err({ exitCode: EXIT.usage, message: 'both files are needed, since customers refer to plans; use --customers and --plans' })
  }
  return readListFiles(options).andThen(({ customers = {}, plans = {} }) => checkLists({ customers, plans })).map((lists) => {
    const json = { valid: true, customers: Object.keys(lists.customers).length, plans: Object.keys(lists.plans).length }
    return { text: `valid: ${json.customers} customers, ${json.plans} plans`, json }
  })
}

/** `lists get`: prints the lists or writes them into files. */
export async function getLists (calls: ControlCalls, options: { out?: string, force?: boolean }): Promise<Result<Output, CliError>> {
  const current = await getCurrent(calls)
  if (current.isErr()) return err(current.error)
  const { document, confirmed } = current.value
  if (options.out === undefined) {
    const { customers, plans } = formatListFiles(document)
    // The printed text holds both lists, so it needs only one revision line.
    const text = (confirmed ? '' : UNCONFIRMED) + customers + plans.slice(plans.indexOf('\n\n') + 1).trimEnd()
    return ok({ text, json: current.value })
  }
  return writeListFiles(options.out, document, options.force ?? false).map((written) => ({
    text: `${confirmed ? '' : UNCONFIRMED}wrote revision ${document.revision} to ${written.join(' and ')}`,
    json: { revision: document.revision, confirmed, written }
  }))
}

/** `lists diff`: shows what an edit with these files would change in the lists in effect. */
export async function diffListFiles (calls: ControlCalls, options: ListFileOptions): Promise<Result<Output, CliError>> {
  const files = readListFiles(options)
  if (files.isErr()) return err(files.error)
  const current = await getCurrent(calls)
  if (current.isErr()) return err(current.error)
  const { revision, lists: inEffect } = current.value.document
  const lists = checkLists({ customers: files.value.customers ?? inEffect.customers, plans: files.value.plans ?? inEffect.plans })
  if (lists.isErr()) return err(lists.error)
  const changes = diffLists(inEffect, lists.value)
  const lines = changes.length === 0 ? ['no difference'] : formatChanges(changes)
  const base = files.value.revision
  if (base !== undefined && base !== revision) lines.unshift(`the files were made from revision ${base}; an edit would be a conflict`)
  return ok({ text: [`compared with revision ${revision}`, ...lines].join('\n'), json: { revision, baseRevision: base ?? null, changes } })
}

/** `lists history`: shows the latest accepted edits. */
export async function listsHistory (calls: ControlCalls, { limit }: { limit: number }): Promise<Result<Output, CliError>> {
  const entries = await calls.request<HistoryEntry[]>((api) => api.history.query({ limit }) as Promise<HistoryEntry[]>)
  return entries.map((list) => ({
    text: list.length === 0
      ? 'no edits'
      : formatTable([['revision', 'time', 'operator', 'changes', 'edit id'],
        ...list.map(({ revision, wallMs, operator, changes, editId }) =>
          [String(revision), formatTime(wallMs), operator, String(changes.length), editId])]),
    json: list
  }))
}
