import type { LogLine } from './log-lines.js'

/** Timeline of one request, reconstructed from log files. */
export type RequestTimeline = {
  requestId: string
  /** Lines about the request itself. */
  steps: LogLine[]
  /** Lines about the state of the processes on its path shortly before its end. */
  context: LogLine[]
  /** VMs on its path that have no line in the files. */
  missingLogs: string[]
  /** Number of lines that the log's rate limit suppressed around that time, on the processes on its path. */
  leftOut: number
  /** Description of the decision that ended it; undefined when no line has it. */
  cause: string | undefined
}

/** Events about the state of a process and its view of the fleet, as opposed to single requests. */
const CONTEXT_EVENTS = new Set([
  'start', 'stop', 'drain', 'signal', 'frozen', 'refuted', 'member', 'members', 'target', 'announcement-ignored',
  'document', 'confirmed', 'unconfirmed', 'older-revision', 'peer-rejected', 'vm-id-conflict'
])
/** Time before the end of a request from which context is shown, in ms; exceeds the time to detect a failed VM. */
const CONTEXT_BEFORE_MS = 10_000
/**
 * Time after the end of a request in which lines are considered, in ms. Processes log a request when their part of it ends, so that
 * all its lines lie within its longest deadline.
 */
const CONTEXT_AFTER_MS = 1000

/** Builds the timeline of a request; undefined when no line has its id. */
export function buildRequestTimeline (lines: readonly LogLine[], requestId: string): RequestTimeline | undefined {
  const steps = lines.filter((line) => line.requestId === requestId)
  if (steps.length === 0) return undefined
  const pathVms = new Set(steps.flatMap((step) => [step.vm, ...(step.attempts ?? []).map(({ vmId }) => vmId)]))
  const loggedVms = new Set(lines.map(({ vm }) => vm))
  const endMs = steps.at(-1)!.time
  const nearby = lines.filter(({ time, vm }) => time >= endMs - CONTEXT_BEFORE_MS && time <= endMs + CONTEXT_AFTER_MS && pathVms.has(vm))
  const isRelevant = ({ vm, vmId }: LogLine) => vmId === undefined || vmId === vm || pathVms.has(vmId)
  return {
    requestId,
    steps,
    context: nearby.filter((line) => CONTEXT_EVENTS.has(line.event) && line.time <= endMs && isRelevant(line)),
    missingLogs: [...pathVms].filter((vm) => !loggedVms.has(vm)).sort(),
    leftOut: nearby.reduce((sum, line) => sum + (line.leftOut ?? 0), 0),
    cause: causeOf(steps)
  }
}

function causeOf (steps: readonly LogLine[]): string | undefined {
  const last = (event: string) => steps.filter((step) => step.event === event).at(-1)
  const end = last('request')
  const refused = last('call-refused')
  if (end === undefined) return refused === undefined ? undefined : `${refused.vm}: ${text(refused.detail)}`
  if (text(end.detail) === '') return `the target responded with status ${text(end.status)}; the cause is in the target's own log`
  if (refused === undefined) return `${end.vm}: ${text(end.detail)}`
  return `${refused.vm}: ${text(refused.detail)}, which ended the request at ${end.vm} as ${text(end.detail)}`
}

/** Where and when a revision of a document took effect; `not` lists the VMs without it. */
export type RevisionTimeline = { revision: number, inForce: Array<{ vm: string, time: number, revision: number }>, not: string[] }

/** Finds the time at which each VM in the lines first had the revision or a later one. */
export function buildRevisionTimeline (lines: readonly LogLine[], revision: number): RevisionTimeline {
  const inForce = new Map<string, { vm: string, time: number, revision: number }>()
  for (const { event, vm, time, revision: loggedRevision = -1 } of lines) {
    if (event === 'document' && loggedRevision >= revision && !inForce.has(vm)) inForce.set(vm, { vm, time, revision: loggedRevision })
  }
  const vms = new Set(lines.map(({ vm }) => vm))
  return { revision, inForce: [...inForce.values()], not: [...vms].filter((vm) => !inForce.has(vm)).sort() }
}

function text (value: unknown): string {
  return typeof value === 'string' ? value : value === undefined ? '' : String(value)
}
