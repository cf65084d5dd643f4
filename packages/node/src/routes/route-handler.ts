import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  bodyLength, endToEndHeaders, headerValue, newTraceId, notRun, REFUSALS, unknownOutcome,
  type CancelSignal, type Clock, type MemberRecord, type Operation, type Refusal, type RefusalCode, type RequestContext, type Route,
  type RoutesIndex
} from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import { writeRefusal, writeResponse } from '../calls/response-writer.js'
import { refusalOfCut } from '../calls/attempt-result.js'
import { startDeadline, type CallDeadline } from '../calls/call-deadline.js'
import { cancelWhenCallerLeaves, endRequest } from '../calls/request-end.js'
import { recalledRefusal } from '../calls/unsent-call.js'
import { untilAborted } from '../calls/until-aborted.js'
import { bodyMissing, bufferBody, deadlinePassed } from '../calls/entry-request.js'
import { NO_REPORT, type AttemptRecord, type Forwarder, type ForwardResult } from '../calls/forwarder.js'
import { countOpenRequests, type CountedHandler } from '../calls/open-requests.js'
import { processReads, type SocketReads } from '../net/socket-reads.js'
import { withoutSetHeaders, type CallHeaderNames } from './call-headers.js'
import { clientRefusal } from './client-refusal.js'
import type { DestinationChooser } from './destinations.js'
import type { RepeatBudget } from './repeat-budget.js'
import { priorityOfRank } from './route-priority.js'

/** Result of a routed request; one is logged for each request. */
export type RequestSummary = {
  requestId: string
  route: string
  service: string
  revision: number
  priority: number
  status: number
  /** Code of the refusal when a node refused or abandoned the request. */
  refusal?: RefusalCode
  outcome: string
  detail: string
  attempts: AttemptRecord[]
  /** Shortest and longest time, in ms, for which the request can have waited at this node before it was read. */
  readWaitMs: number
  unreadMs: number
  durationMs: number
}

/** Dependencies of `createRouteHandler`. */
export type RouteHandlerOptions = {
  names: CallHeaderNames
  /** Service of the local target, sent as the caller of its requests. */
  callerService: string
  self: () => MemberRecord
  /** Routes in effect on this node; undefined until a control VM has confirmed them. */
  routes: () => RoutesIndex | undefined
  /** Refusal for requests that enter here while the node stops; undefined otherwise. */
  entryRefusal: () => Refusal | undefined
  /** Aborts when requests that have not been sent to a target are refused. */
  recalled: CancelSignal
  /** Aborts when requests without a response get one of unknown outcome. */
  drainEnded: CancelSignal
  chooseDestination: DestinationChooser
  budget: RepeatBudget
  forwarder: Forwarder
  reads?: SocketReads
  clock: Clock
  onEnded: (ending: RequestSummary) => void
}

/** Bodies up to this size are buffered, so that a call that did not run can be sent to another target. */
const BUFFERED_BODY_BYTES = 1024 * 1024

type Admitted = { route: Route, requestId: string, revision: number, deadlineMs: number, bodyBytes: number | undefined }
type Ended = Pick<RequestSummary, 'status' | 'refusal' | 'outcome' | 'detail' | 'attempts'>

/** Creates the handler of requests that clients and the local target send on routes; the handler never rejects. */
export function createRouteHandler (options: RouteHandlerOptions): CountedHandler {
  const { names, routes, forwarder, reads = processReads, clock } = options

  const admit = (req: IncomingMessage, requestId: string): Result<Admitted, Refusal> => {
    const index = routes()
    if (index === undefined) return err(notRun('routes-unconfirmed', 'no control VM has confirmed the routes since this node started', 1))
    const entryRefusal = options.entryRefusal()
    if (entryRefusal !== undefined) return err(entryRefusal)
    const path = (req.url ?? '').split('?')[0]!
    const host = req.headers.host ?? ''
    const route = index.lookup(host, path) ?? index.lookup(host.replace(/:\d+$/, ''), path)
    if (route === undefined) return err(notRun('route-unknown', `version ${index.revision} has no route for host "${host}" and path "${path}"`))
    const bodyBytes = bodyLength(req)
    if ((bodyBytes ?? 0) > index.limits.maxBodyBytes) return err(notRun('body-too-large', `the body has ${bodyBytes} bytes; at most ${index.limits.maxBodyBytes} are allowed`))
    const requestedMs = Number(headerValue(req.rawHeaders, names.deadlineMs) ?? Infinity)
    const deadlineMs = Math.min(Number.isNaN(requestedMs) ? Infinity : requestedMs, route.timeoutMs)
    return ok({ route, requestId, revision: index.revision, deadlineMs, bodyBytes })
  }

  const requestContextOf = ({ route, requestId }: Admitted): RequestContext => {
    const self = options.self()
    return {
      requestId,
      traceId: requestId,
      customer: '',
      entryOpKey: route.name,
      priority: priorityOfRank(route.rank, requestId),
      ledger: { host: self.host, port: self.peerPort },
      region: self.region
    }
  }

  const forward = async (
    req: IncomingMessage, admitted: Admitted, root: RequestContext, service: string, deadline: CallDeadline
  ): Promise<ForwardResult> => {
    const { route } = admitted
    if (deadline.remainingMs() <= 0) return { kind: 'refused', refusal: deadlinePassed(), attempts: [], report: NO_REPORT }
    const { recalled } = options
    const body = await untilAborted(bufferBody(req, admitted.bodyBytes, deadline.signal, BUFFERED_BODY_BYTES), recalled)
    if (body === undefined) {
      return { kind: 'refused', refusal: recalled.aborted ? recalledRefusal() : bodyMissing(), attempts: [], report: NO_REPORT }
    }
    options.budget.firstSent(service)
    return await forwarder.forward({
      root,
      service,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: [
        'host', req.headers.host ?? '',
        ...withoutSetHeaders(endToEndHeaders(req.rawHeaders), names),
        names.callerService, options.callerService
      ],
      opKey: route.name,
      caller: `${req.headers.host ?? ''} ${options.callerService}`,
      op: operationOf(route, service),
      body,
      deadline,
      traceFlags: '00',
      claimKey: undefined,
      attemptRefusal: options.entryRefusal,
      recalled
    })
  }

  const respond = async (
    req: IncomingMessage, res: ServerResponse, requestId: string, deadline: CallDeadline, work: Promise<ForwardResult>
  ): Promise<Ended> => {
    const result = await work
    if (result.kind === 'answer') {
      const finish = await writeResponse(res, result.head, result.body, result.finish, [])
      result.settle(finish)
      const complete = finish.kind === 'complete'
      if (!complete && !res.headersSent) return refuse(req, res, requestId, refusalOfCut(finish, deadline), result.attempts)
      return {
        status: result.head.status,
        outcome: complete ? 'complete' : 'unknown',
        detail: complete ? '' : `the response was cut off: ${finish.kind}`,
        attempts: result.attempts
      }
    }
    const refusal = result.kind === 'refused' ? result.refusal : unknownOutcome('target-lost', result.message)
    return refuse(req, res, requestId, refusal, result.attempts)
  }

  const handleRequest = async (req: IncomingMessage, res: ServerResponse, waitedMs: number): Promise<void> => {
    const startedMs = clock.nowMs() - waitedMs
    const readWaits = { readWaitMs: reads.waitedMs(), unreadMs: reads.unreadMs() }
    const requestId = headerValue(req.rawHeaders, names.requestId) ?? newTraceId()
    const admitted = admit(req, requestId)
    const report = (ended: Ended, routeFields: Pick<RequestSummary, 'route' | 'service' | 'revision' | 'priority'>) =>
      options.onEnded({ requestId, ...routeFields, ...ended, ...readWaits, durationMs: clock.nowMs() - startedMs })
    if (admitted.isErr()) {
      return report(refuse(req, res, requestId, admitted.error, []), { route: '', service: '', revision: routes()?.revision ?? 0, priority: 0 })
    }
    const { route, revision, deadlineMs } = admitted.value
    const drain = { ended: options.drainEnded, hasResponse: () => res.headersSent }
    const deadline = startDeadline(deadlineMs - waitedMs, clock.nowMs, { drain })
    cancelWhenCallerLeaves(req, res, deadline)
    const root = requestContextOf(admitted.value)
    const service = options.chooseDestination(route)
    let ended: Ended
    try {
      ended = await respond(req, res, requestId, deadline, forward(req, admitted.value, root, service, deadline))
    } catch (cause) {
      ended = refuse(req, res, requestId, unknownOutcome('internal-error', cause instanceof Error ? cause.message : String(cause)), [])
    }
    endRequest(req, res, deadline)
    report(ended, { route: route.name, service, revision, priority: root.priority })
  }

  return countOpenRequests(handleRequest)
}

function refuse (req: IncomingMessage, res: ServerResponse, requestId: string, original: Refusal, attempts: AttemptRecord[]): Ended {
  const refusal = clientRefusal(original)
  writeRefusal(req, res, refusal, requestId)
  return { status: REFUSALS[refusal.code].status, refusal: original.code, outcome: refusal.outcome, detail: `${refusal.code}: ${refusal.detail}`, attempts }
}

/** Operation that represents the route in the forwarding of its calls. */
function operationOf (route: Route, service: string): Operation {
  return {
    service,
    method: 'GET',
    path: route.prefix,
    importance: route.repeat === 'safe' ? 'browse' : 'claim',
    repeatable: route.repeat === 'safe',
    timeoutMs: route.timeoutMs,
    interRegionBytesPerSecond: 0
  }
}
