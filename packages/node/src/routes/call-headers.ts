import { headerValue, notRun } from '@orioleslip/core'
import type { ResponseCheck, TargetHeaders } from '../calls/executor.js'
import type { IncomingCall } from '../links/incoming-call.js'
import type { ResponseHead } from '../links/messages.js'

/** Names, in lower case, of the headers that carry call metadata between callers, nodes and targets of a deployment. */
export type CallHeaderNames = {
  /** Id of one client attempt; targets copy it into their responses. */
  requestId: string
  /** Time left for the call, in ms. */
  deadlineMs: string
  /** Instance to which the call is addressed; any other target refuses it with 421. */
  expectedInstance: string
  /** Service of the VM where the request entered. */
  callerService: string
  /** Present on responses of a target that did not run the call. */
  notExecuted: string
}

const MISDIRECTED = 421
/** `Retry-After` of a call that the target refused, in seconds. */
const SHED_RETRY_AFTER_S = 1

/** Headers of a forwarded call, without those that the nodes set themselves. */
export function withoutSetHeaders (headers: readonly string[], names: CallHeaderNames): string[] {
  const set = new Set([names.deadlineMs, names.expectedInstance, names.callerService])
  const kept: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) if (!set.has(headers[i]!)) kept.push(headers[i]!, headers[i + 1]!)
  return kept
}

/** Creates the function that builds the headers of a routed call to the local target. */
export function createRoutedTargetHeaders (names: CallHeaderNames): TargetHeaders {
  return (call, deadline, _self, target) => [
    ...call.head.headers,
    names.deadlineMs, String(Math.max(1, Math.floor(deadline.remainingMs()))),
    names.expectedInstance, target.instance
  ]
}

/** Creates the test of a response for the id of its call, which targets copy; a response without the id belongs to no call known here. */
export function createForeignResponseTest (names: CallHeaderNames) {
  return (call: IncomingCall, headers: readonly string[]): boolean => {
    const callRequestId = headerValue(call.head.headers, names.requestId)
    return callRequestId !== undefined && headerValue(headers, names.requestId) !== callRequestId
  }
}

/** Creates the check of whether a target ran the call to which it responds. */
export function createResponseCheck (names: CallHeaderNames) {
  return ({ status, headers }: Pick<ResponseHead, 'status' | 'headers'>): ResponseCheck => {
    if (status === MISDIRECTED) {
      return { kind: 'misdirected', refusal: notRun('no-target', 'the target has been replaced by another instance', SHED_RETRY_AFTER_S) }
    }
    if (headerValue(headers, names.notExecuted) === undefined) return { kind: 'ran' }
    return { kind: 'not-run', refusal: notRun('overloaded', `the target did not run the call and responded with status ${status}`, SHED_RETRY_AFTER_S) }
  }
}
