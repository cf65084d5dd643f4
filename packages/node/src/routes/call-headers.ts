import { headerValue, notRun, unknownOutcome, type Refusal } from '@orioleslip/core'
import type { TargetHeaders } from '../calls/executor.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { ResponseHead } from '../links/messages.js'

/** Names, in lower case, of the headers by which callers, nodes and targets of a deployment tell each other about calls. */
export type CallHeaderNames = {
  /** Id of one client attempt; targets repeat it in their answers. */
  requestId: string
  /** Time left for the call, in ms. */
  deadlineMs: string
  /** Instance that the call is meant for; any other target refuses it with 421. */
  expectedInstance: string
  /** Service of the VM where the request entered. */
  callerService: string
  /** Present on answers of a target that did not run the call. */
  notExecuted: string
}

const MISDIRECTED = 421
/** Seconds after which a refused call may find room again. */
const SHED_RETRY_AFTER_S = 1

/** Headers of a call that is passed on, without those that the nodes set. */
export function withoutSetHeaders (headers: readonly string[], names: CallHeaderNames): string[] {
  const set = new Set([names.deadlineMs, names.expectedInstance, names.callerService])
  const kept: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) if (!set.has(headers[i]!)) kept.push(headers[i]!, headers[i + 1]!)
  return kept
}

/** Builds the headers of a routed call to the target beside this node. */
export function createRoutedTargetHeaders (names: CallHeaderNames): TargetHeaders {
  return (call, deadline, _self, target) => [
    ...call.head.headers,
    names.deadlineMs, String(Math.max(1, Math.floor(deadline.remainingMs()))),
    names.expectedInstance, target.instance
  ]
}

/** Recognises answers that belong to another call and targets that did not run the call. */
export function createAnswerJudge (names: CallHeaderNames) {
  return (call: IncomingCall, { status, headers }: ResponseHead): Refusal | undefined => {
    const answered = headerValue(headers, names.requestId)
    const asked = headerValue(call.head.headers, names.requestId)
    if (answered !== undefined && asked !== undefined && answered !== asked) return unknownOutcome('bad-answer', `the answer belongs to request ${answered}`)
    if (status === MISDIRECTED) return notRun('no-target', 'the target has been replaced by another instance', SHED_RETRY_AFTER_S)
    if (headerValue(headers, names.notExecuted) === undefined) return undefined
    return notRun('overloaded', `the target did not run the call and answered ${status}`, SHED_RETRY_AFTER_S)
  }
}
