import type { LogLine } from './log-lines.js'

/** What log files tell about one request. */
export type RequestStory = {
  requestId: string
  /** Lines of the request itself. */
  steps: LogLine[]
  /** What the processes on its way believed and did shortly before its end. */
  context: LogLine[]
  /** VMs on its way of which no line is in the files. */
  missingLogs: string[]
  /** Lines that processes on its way left out around that time, because of the bound on lines a second. */
  leftOut: number
  /** The decision that ended it, in words; undefined when no line has it. */
  cause: string | undefined
}

/** Events by which a process tells what it is, does or believes, apart from single requests. */
const BELIEFS = new Set([
  'start', 'stop', 'drain', 'signal', 'frozen', 'refuted', 'member', 'members', 'target', 'announcement-ignored',
  'document', 'confirmed', 'unconfirmed', 'older-revision', 'peer-rejected', 'vm-id-conflict'
])
/** Beliefs from this time before the end of a request are shown, in ms: longer than it takes to notice a failed VM. */
const CONTEXT_MS = 10_000
/** Lines about requests are written at their end, so that those of one request lie within its longest deadline, in ms. */
const AFTER_MS = 1000

/** Puts together what the lines tell about a request; undefined when no line names it. */
export function tellRequest (lines: readonly LogLine[], requestId: string): RequestStory | undefined {
  const steps = lines.filter((line) => line.requestId === requestId)
  if (steps.length === 0) return undefined
  const onTheWay = new Set(steps.flatMap((step) => [step.vm, ...(step.attempts ?? []).map(({ vmId }) => vmId)]))
  const heard = new Set(lines.map(({ vm }) => vm))
  const endMs = steps.at(-1)!.time
  const near = lines.filter(({ time, vm }) => time >= endMs - CONTEXT_MS && time <= endMs + AFTER_MS && onTheWay.has(vm))
  const concerns = ({ vm, vmId }: LogLine) => vmId === undefined || vmId === vm || onTheWay.has(vmId)
  return {
    requestId,
    steps,
    context: near.filter((line) => BELIEFS.has(line.event) && line.time <= endMs && concerns(line)),
    missingLogs: [...onTheWay].filter((vm) => !heard.has(vm)).sort(),
    leftOut: near.reduce((sum, line) => sum + (line.leftOut ?? 0), 0),
    cause: causeOf(steps)
  }
}

function causeOf (steps: readonly LogLine[]): string | undefined {
  const last = (event: string) => steps.filter((step) => step.event === event).at(-1)
  const end = last('request')
  const refused = last('call-refused')
  if (end === undefined) return refused === undefined ? undefined : `${refused.vm}: ${text(refused.detail)}`
  if (text(end.detail) === '') return `the target answered ${text(end.status)}; the cause is in the target's own log`
  if (refused === undefined) return `${end.vm}: ${text(end.detail)}`
  return `${refused.vm}: ${text(refused.detail)}, which ended it at ${end.vm} as ${text(end.detail)}`
}

/** Where and when a revision of a document came into force. */
export type RevisionStory = { revision: number, inForce: Array<{ vm: string, time: number, revision: number }>, not: string[] }

/** Finds for each VM in the lines when it first had the revision or a later one. */
export function tellRevision (lines: readonly LogLine[], revision: number): RevisionStory {
  const inForce = new Map<string, { vm: string, time: number, revision: number }>()
  for (const { event, vm, time, revision: taken = -1 } of lines) {
    if (event === 'document' && taken >= revision && !inForce.has(vm)) inForce.set(vm, { vm, time, revision: taken })
  }
  const vms = new Set(lines.map(({ vm }) => vm))
  return { revision, inForce: [...inForce.values()], not: [...vms].filter((vm) => !inForce.has(vm)).sort() }
}

function text (value: unknown): string {
  return typeof value === 'string' ? value : value === undefined ? '' : String(value)
}
