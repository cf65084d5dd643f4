import { err, ok, type Result } from 'neverthrow'
import { EXIT, type CliError, type Output } from '../exit-codes.js'
import { readLogs, type LogLine } from '../logs/log-lines.js'
import { tellRequest, tellRevision, type RequestStory, type RevisionStory } from '../logs/request-story.js'

/** Fields that each line has, or that are shown in another place. */
const SHOWN_APART = new Set(['time', 'vm', 'role', 'level', 'event', 'msg', 'requestId', 'attempts', 'pid', 'hostname'])

const clockTime = (time: number): string => new Date(time).toISOString().slice(11, 23)

function showLine (line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !SHOWN_APART.has(name) && value !== '' && value !== undefined)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  const sends = (line.attempts ?? []).map(({ vmId, result }) => `\n    sent to ${vmId}: ${result}`)
  return `${clockTime(line.time)}  ${line.vm}  ${line.event}  ${fields.join(' ')}${sends.join('')}`
}

function showRequest ({ requestId, steps, context, missingLogs, leftOut, cause }: RequestStory): string {
  return [
    `request ${requestId}`,
    ...steps.map((step) => '  ' + showLine(step)),
    ...(context.length === 0 ? [] : ['what the processes on its way did and believed before its end', ...context.map((line) => '  ' + showLine(line))]),
    ...(missingLogs.length === 0 ? [] : [`no log given of: ${missingLogs.join(', ')}`]),
    ...(leftOut === 0 ? [] : [`${leftOut} lines of that time were left out by the bound on lines a second`]),
    `cause: ${cause ?? 'not in the given logs'}`
  ].join('\n')
}

function showRevision ({ revision, inForce, not }: RevisionStory): string {
  return [
    `revision ${revision}`,
    ...inForce.map((at) => `  ${clockTime(at.time)}  ${at.vm}${at.revision === revision ? '' : `  (revision ${at.revision})`}`),
    ...(not.length === 0 ? [] : [`not in force in the given logs: ${not.join(', ')}`])
  ].join('\n')
}

/** `explain --logs`: tells from log files what became of a request. */
export function explainFromLogs (files: readonly string[], requestId: string): Result<Output, CliError> {
  return readLogs(files).andThen(({ lines, skipped }) => {
    const story = tellRequest(lines, requestId)
    if (story !== undefined) return ok({ text: showRequest(story), json: story })
    const hint = 'only failed requests have lines of their own below log level debug; give the log of the node that the request entered'
    return err({ exitCode: EXIT.unavailable, message: `no line of ${lines.length} names request ${requestId} (${skipped} lines were not readable); ${hint}` })
  })
}

/** `explain-revision`: tells from log files where and when a revision came into force. */
export function explainRevision (files: readonly string[], revision: number): Result<Output, CliError> {
  return readLogs(files).map(({ lines }) => {
    const story = tellRevision(lines, revision)
    return { text: showRevision(story), json: story }
  })
}
