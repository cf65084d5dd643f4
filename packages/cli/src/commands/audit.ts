import { GENESIS, verifyChain, type AuditEntry, type AuditReport } from '@orioleslip/control/client'
import { err, ok, type Result } from 'neverthrow'
import type { Api, ControlCalls } from '../control-calls.js'
import { EXIT, type CliError, type Output } from '../exit-codes.js'
import { formatChanges } from '../format-changes.js'
import { formatTime } from '../table.js'

const PAGE_ENTRIES = 200

const fetchPage = (api: Api, afterSeq: number, limit: number) => api.audit.query({ afterSeq, limit }) as Promise<AuditEntry[]>

function formatOutcome ({ outcome }: AuditEntry): string {
  switch (outcome.kind) {
    case 'accepted': return `accepted as revision ${outcome.revision}`
    case 'conflict': return `conflict with revision ${outcome.revision}`
    case 'invalid': return `invalid: ${outcome.problems.join('; ')}`
    case 'editIdReused': return 'refused: edit id used for another edit'
    case 'refused': return `${outcome.unauthenticated ? 'unauthenticated' : 'refused'}: ${outcome.reason}`
  }
}

function formatEntry (entry: AuditEntry): string {
  const { seq, wallMs, vmId, operator, action, editId, baseRevision, changes, suppressed } = entry
  const from = baseRevision === undefined ? '' : ` from revision ${baseRevision}`
  const lines = [
    `${seq}  ${formatTime(wallMs)}  ${operator}  ${action}${from}: ${formatOutcome(entry)}  [at ${vmId}${editId === undefined ? '' : `, edit id ${editId}`}]`,
    ...formatChanges(changes).map((line) => `      ${line}`)
  ]
  if (suppressed !== undefined) lines.push(`      ${suppressed} similar attempts before this one were only counted`)
  return lines.join('\n')
}

/** `audit show`: entries after a sequence number, or the latest ones. */
export async function showAudit (calls: ControlCalls, options: { after?: number, limit: number }): Promise<Result<Output, CliError>> {
  const limit = Math.min(500, Math.max(1, options.limit))
  const res = await calls.request<AuditEntry[]>(async (api) => {
    if (options.after !== undefined) return await fetchPage(api, options.after, limit)
    const head = await api.auditHead.query()
    return await fetchPage(api, Math.max(0, head.seq - limit), limit)
  })
  return res.map((entries) => ({ text: entries.length === 0 ? 'no entries' : entries.map(formatEntry).join('\n'), json: entries }))
}

/** Reads the whole trail and verifies it in this process, without relying on a control VM's own check. */
async function verifyLocally (calls: ControlCalls): Promise<Result<{ seq: number, hash: string }, CliError>> {
  let anchor = GENESIS
  for (;;) {
    const from = anchor
    const entries = await calls.request<AuditEntry[]>((api) => fetchPage(api, from.seq, PAGE_ENTRIES))
    if (entries.isErr()) return err(entries.error)
    if (entries.value.length === 0) return ok(anchor)
    const checked = verifyChain(anchor, entries.value)
    if ('kind' in checked) return err({ exitCode: EXIT.auditBroken, message: `the audit trail is broken: ${checked.message}`, json: { seq: checked.seq } })
    anchor = checked
  }
}

/** `audit verify`: verifies the chain from the first entry, and that every reachable control VM has the same chain. */
export async function verifyAudit (calls: ControlCalls): Promise<Result<Output, CliError>> {
  const verified = await verifyLocally(calls)
  if (verified.isErr()) return err(verified.error)
  const head = verified.value
  const reports = await calls.requestAll((api) => api.auditVerify.query() as Promise<AuditReport>)
  const lines = [`${head.seq} entries, the chain is intact; hash of the last entry ${head.hash}`]
  let broken = false
  for (const { authority, reply } of reports) {
    if (reply.isErr()) {
      lines.push(`${authority}: not checked (${reply.error.message})`)
      continue
    }
    const report = reply.value
    if (report.kind === 'broken') {
      broken = true
      lines.push(`${authority}: broken at entry ${report.seq}: ${report.message}`)
      continue
    }
    const differs = report.head.seq === head.seq && report.head.hash !== head.hash
    broken ||= differs
    lines.push(`${authority}: ${differs ? `differs, its last hash is ${report.head.hash}` : `intact, ${report.entries} entries`}`)
  }
  const vms = reports.map(({ authority, reply }) => ({ authority, report: reply.unwrapOr(null) }))
  const json = { intact: !broken, entries: head.seq, hash: head.hash, vms }
  return ok({ text: lines.join('\n'), json, exitCode: broken ? EXIT.auditBroken : EXIT.ok })
}
