import { err, ok, type Result } from 'neverthrow'
import { EXIT, type CliError, type Output } from '../exit-codes.js'
import { readLogs, type LogLine } from '../logs/log-lines.js'
import { buildRequestTimeline, buildRevisionTimeline, type RequestTimeline, type RevisionTimeline } from '../logs/request-timeline.js'

/** Fields left out of the `name=value` list, because each line has them or they are printed elsewhere. */
const OMITTED_FIELDS = new Set(['time', 'vm', 'role', 'level', 'event', 'msg', 'requestId', 'attempts', 'pid', 'hostname'])

const clockTime = (time: number): string => new Date(time).toISOString().slice(11, 23)

function formatLine (line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !OMITTED_FIELDS.has(name) && value !== '' && value !== undefined)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  const attempts = (line.attempts ?? []).map(({ vmId, result }) => `\n    sent to ${vmId}: ${result}`)
  return `${clockTime(line.time)}  ${line.vm}  ${line.event}  ${fields.join(' ')}${attempts.join('')}`
}

function formatRequest ({ requestId, steps, context, missingLogs, leftOut, cause }: RequestTimeline): string {
  return [
    `request ${requestId}`,
    ...steps.map((step) => '  ' + formatLine(step)),
    ...(context.length === 0 ? [] : ['events of the processes on its path before its end', ...context.map((line) => '  ' + formatLine(line))]),
    ...(missingLogs.length === 0 ? [] : [`no log given for: ${missingLogs.join(', ')}`]),
    ...(leftOut === 0 ? [] : [`${leftOut} lines of that time were suppressed by the log's rate limit`]),
    `cause: ${cause ?? 'not in the given logs'}`
  ].join('\n')
}

function formatRevision ({ revision, inForce, not }: RevisionTimeline): string {
  return [
    `revision ${revision}`,
    ...inForce.map((at) => `  ${clockTime(at.time)}  ${at.vm}${at.revision === revision ? '' : `  (revision ${at.revision})`}`),
    ...(not.length === 0 ? [] : [`not in force in the given logs: ${not.join(', ')}`])
  ].join('\n')
}

/** `explain --logs`: reconstructs the timeline of a request from log files. */
export function explainFromLogs (files: readonly string[], requestId: string): Result<Output, CliError> {
  return readLogs(files).andThen(({ lines, skipped }) => {
    const timeline = buildRequestTimeline(lines, requestId)
    if (timeline !== undefined) return ok({ text: formatRequest(timeline), json: timeline })
    const hint = 'only failed requests are logged unless the log level is debug or lower; give the log of the entry node'
    return err({ exitCode: EXIT.unavailable, message: `no line of ${lines.length} names request ${requestId} (${skipped} lines were not readable); ${hint}` })
  })
}

/** `explain-revision`: shows from log files where and when a revision took effect. */
export function explainRevision (files: readonly string[], revision: number): Result<Output, CliError> {
  return readLogs(files).map(({ lines }) => {
    const timeline = buildRevisionTimeline(lines, revision)
    return { text: formatRevision(timeline), json: timeline }
  })
}
