import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  HEADERS, newTraceId, notRun, priorityOf, unknownOutcome,
  type CancelSignal, type Clock, type EntryAdmission, type ListsIndex, type MemberRecord, type Operation, type Plan, type Quotas,
  type Refusal, type RetryLedger, type RequestContext
} from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { LostCall, LostCallVerdict } from '../idempotency/lost-call.js'
import { writeRefusal, writeResponse } from './response-writer.js'
import { refusalOfCut } from './attempt-result.js'
import { startDeadline, type CallDeadline } from './call-deadline.js'
import { cancelWhenCallerLeaves, endRequest } from './request-end.js'
import type { DecisionRecords } from './decision-records.js'
import { bodyMissing, deadlinePassed, newTrace, parseRequest, receiveBody, type ParsedRequest } from './entry-request.js'
import type { AttemptRecord, Forwarder, ForwardRequest, ForwardResult } from './forwarder.js'
import type { InboundCall, InboundCalls } from './inbound-calls.js'
import type { NodeStats } from './node-stats.js'
import { countOpenRequests, type CountedHandler } from './open-requests.js'
import { BUFFERED_BODY_LIMIT_BYTES } from './request-body.js'
import { HASHED_BODY_LIMIT_BYTES } from '../idempotency/request-hash.js'
import { recalledRefusal } from './unsent-call.js'
import { untilAborted } from './until-aborted.js'

/** Returns the lists in force on this node; undefined until a control VM has confirmed them. */
export type CurrentLists = () => ListsIndex | undefined

export type CallHandlerOptions = {
  self: () => MemberRecord
  lists: CurrentLists
  /** Refusal for new requests from callers while the node is stopping; undefined otherwise. */
  entryRefusal: () => Refusal | undefined
  /** Aborts when requests that have not been sent to a target are refused. */
  recalled: CancelSignal
  /** Aborts when requests without a response get one of unknown outcome. */
  drainEnded: CancelSignal
  admission: EntryAdmission
  quotas: Quotas
  ledger: RetryLedger
  inbound: InboundCalls
  forwarder: Forwarder
  /** Determines the outcome of a non-repeatable call after contact with its executor was lost. */
  resolveLost: (call: LostCall) => Promise<LostCallVerdict>
  records: DecisionRecords
  stats: NodeStats
  clock: Clock
  /** True while this node is stopping; responses then carry `connection: close`, so that callers connect to another node. */
  stopping: () => boolean
}

/** Timeout of a call to an unlisted operation without a timeout header, in ms. */
const UNLISTED_TIMEOUT_MS = 10_000

/** Origin of a request: a caller outside the fleet (`entry`), or the local target while it executes a call (`child`). */
type Origin =
  | { kind: 'entry', root: RequestContext, plan: Plan }
  | { kind: 'child', root: RequestContext, parent: InboundCall }

/** A request refused before it was forwarded; `root` is set if the refusal came after the lookup of its operation. */
type Rejection = { refusal: Refusal, root?: RequestContext }

type Admitted = { origin: Origin, opKey: string, op: Operation | undefined, claimKey: ForwardRequest['claimKey'] }

/** Result of a request, for decision records and metrics. */
type RequestResult = { status: number, outcome: string, detail: string, refusal?: Refusal['code'], attempts: AttemptRecord[], regionBytes: number }

/** Creates the handler of HTTP requests from callers and from the local target; its promise never rejects. */
export function createCallHandler (options: CallHandlerOptions): CountedHandler {
  const { lists, admission, quotas, ledger, inbound, forwarder, records, stats, clock } = options

  const newRequestContext = (parsed: ParsedRequest, customer: string, opKey: string, op: Operation | undefined): RequestContext => {
    const self = options.self()
    const requestId = newTraceId()
    return {
      requestId,
      traceId: (parsed.trace ?? newTrace()).traceId,
      customer,
      entryOpKey: opKey,
      // Derived from the generated request id: deriving it from the caller's trace id would let callers choose their priority.
      priority: priorityOf(op?.importance ?? 'browse', requestId),
      ledger: { host: self.host, port: self.peerPort },
      region: self.region
    }
  }

  const findParent = (parsed: ParsedRequest): InboundCall | Refusal | undefined => {
    if (parsed.trace === undefined) return undefined
    const exact = inbound.bySpan(parsed.trace.traceId, parsed.trace.spanId)
    if (exact.kind === 'open') return exact.call
    if (exact.kind === 'closed') return notRun('deadline-exceeded', 'the call that this one belongs to has ended')
    // A request with a customer header is a new entry request; one without must belong to an open call.
    if (parsed.customer !== undefined) return undefined
    const newest = inbound.byTrace(parsed.trace.traceId)
    return newest.kind === 'open' ? newest.call : undefined
  }

  /** Runs all admission checks of a request before its body is read. */
  const admit = async (parsed: ParsedRequest): Promise<Result<Admitted, Rejection>> => {
    const index = lists()
    if (index === undefined) return err({ refusal: notRun('lists-unconfirmed', 'no control VM has confirmed the lists since this node started', 1) })
    const parent = findParent(parsed)
    if (parent !== undefined && 'code' in parent) return err({ refusal: parent })
    const entryRefusal = parent === undefined ? options.entryRefusal() : undefined
    if (entryRefusal !== undefined) return err({ refusal: entryRefusal })
    const customer = parent?.root.customer ?? parsed.customer
    if (customer === undefined) return err({ refusal: notRun('customer-missing', 'the request names no customer and belongs to no open call') })
    const found = index.lookup(customer, parsed.service, parsed.method, parsed.pathname)
    if (found.kind === 'customerUnknown') return err({ refusal: notRun('customer-unknown', `customer "${customer}" is not in the customers list of revision ${index.revision}`) })
    if (found.kind === 'unlistedUnsafe') {
      return err({ refusal: notRun('operation-not-listed', `plan "${found.planName}" does not list ${parsed.method} ${parsed.pathname} of "${parsed.service}"`) })
    }
    const op = found.kind === 'listed' ? found.op : undefined
    const claimKey = op?.repeatable === false ? parsed.idempotencyKey : undefined
    if (op?.repeatable === false && claimKey === undefined) return err({ refusal: notRun('key-required', `${parsed.method} ${parsed.pathname} may not be repeated`) })
    if (parent !== undefined) return ok({ origin: { kind: 'child', root: parent.root, parent }, opKey: found.opKey, op, claimKey })

    const root = newRequestContext(parsed, customer, found.opKey, op)
    const refusal = admission.check(found.opKey, root.priority) ?? await takeQuota(customer, found.plan)
    if (refusal !== undefined) return err({ refusal, root })
    ledger.open(root, parsed.idempotencyKey)
    return ok({ origin: { kind: 'entry', root, plan: found.plan }, opKey: found.opKey, op, claimKey })
  }

  const takeQuota = async (customer: string, plan: Plan): Promise<Refusal | undefined> => {
    const taken = quotas.take(customer, plan.ratePerSecond, plan.burst)
    const verdict = taken instanceof Promise ? await taken : taken
    if (verdict.kind === 'granted') return undefined
    return notRun('rate-exceeded', `customer "${customer}" is over ${plan.ratePerSecond} requests per second`, verdict.retryAfterS)
  }

  const deadlineOf = (res: ServerResponse, parsed: ParsedRequest, admitted: Admitted, waitedMs: number): CallDeadline => {
    const drain = { ended: options.drainEnded, hasResponse: () => res.headersSent }
    const wanted = (parsed.timeoutMs ?? admitted.op?.timeoutMs ?? UNLISTED_TIMEOUT_MS) - waitedMs
    if (admitted.origin.kind === 'entry') return startDeadline(wanted, clock.nowMs, { drain })
    const { parent } = admitted.origin
    return startDeadline(Math.min(wanted, parent.deadlineMs - clock.nowMs()), clock.nowMs, { parent: parent.signal, drain })
  }

  const serve = async (
    req: IncomingMessage, res: ServerResponse, parsed: ParsedRequest, admitted: Admitted, deadline: CallDeadline
  ): Promise<RequestResult> => {
    const { root } = admitted.origin
    if (admitted.claimKey !== undefined && (parsed.bodyBytes ?? 0) > HASHED_BODY_LIMIT_BYTES) {
      return refuse(req, res, root.requestId, notRun('body-too-large', `the body has ${parsed.bodyBytes} bytes; at most ${HASHED_BODY_LIMIT_BYTES} are allowed`), [], 0)
    }
    if (deadline.remainingMs() <= 0) return refuse(req, res, root.requestId, deadlinePassed(), [], 0)
    const limit = admitted.claimKey === undefined ? BUFFERED_BODY_LIMIT_BYTES : HASHED_BODY_LIMIT_BYTES
    const { recalled } = options
    const body = await untilAborted(receiveBody(req, parsed.bodyBytes, deadline.signal, limit), recalled)
    if (body === undefined) return refuse(req, res, root.requestId, recalled.aborted ? recalledRefusal() : bodyMissing(), [], 0)
    const result = await forwarder.forward({
      root,
      service: parsed.service,
      method: parsed.method,
      path: parsed.path,
      headers: parsed.headers,
      opKey: admitted.opKey,
      caller: root.customer,
      op: admitted.op,
      body,
      deadline,
      traceFlags: parsed.trace?.flags ?? '00',
      claimKey: admitted.claimKey,
      // Calls of the local target belong to a call that a stopping node still completes.
      attemptRefusal: admitted.origin.kind === 'entry' ? options.entryRefusal : () => recalled.aborted ? recalledRefusal() : undefined,
      recalled
    })
    switch (result.kind) {
      case 'answer': {
        const extra = [HEADERS.outcome, 'complete', HEADERS.requestId, root.requestId]
        if (options.stopping()) extra.push('connection', 'close')
        const finish = await writeResponse(res, result.head, result.body, result.finish, extra)
        const report = result.settle(finish)
        applyReport(admitted, report)
        const complete = finish.kind === 'complete'
        if (!complete && !res.headersSent) {
          return refuse(req, res, root.requestId, refusalOfCut(finish, deadline), result.attempts, report.regionBytes)
        }
        return {
          status: result.head.status,
          outcome: complete ? 'complete' : 'unknown',
          detail: complete ? '' : `the response was cut off: ${finish.kind}`,
          ...(complete ? {} : { refusal: 'bad-answer' as const }),
          attempts: result.attempts,
          regionBytes: report.regionBytes
        }
      }
      case 'refused':
        applyReport(admitted, result.report)
        if (admitted.origin.kind === 'child') admitted.origin.parent.childRefused()
        return refuse(req, res, root.requestId, result.refusal, result.attempts, result.report.regionBytes)
      case 'lost':
        applyReport(admitted, result.report)
        return resolveLost(req, res, admitted, deadline, result)
    }
  }

  const resolveLost = async (
    req: IncomingMessage, res: ServerResponse, { origin, claimKey }: Admitted, deadline: CallDeadline, lost: Extract<ForwardResult, { kind: 'lost' }>
  ): Promise<RequestResult> => {
    const { root } = origin
    const { attempts, report: { regionBytes } } = lost
    const resolved = await options.resolveLost({
      customer: root.customer,
      key: claimKey ?? '',
      token: lost.token,
      deadlineMs: deadline.deadlineMs,
      signal: options.recalled,
      code: deadline.expired() ? 'deadline-exceeded' : 'target-lost'
    })
    if (resolved.kind === 'refuse') return refuse(req, res, root.requestId, resolved.refusal, attempts, regionBytes)
    const { answer: response } = resolved
    res.writeHead(response.status, [...response.headers, HEADERS.outcome, 'complete', HEADERS.requestId, root.requestId])
    res.end(response.body)
    return { status: response.status, outcome: 'complete', detail: 'returned from the key register', attempts, regionBytes }
  }

  const applyReport = ({ origin }: Admitted, report: { pathLevel: number, regionBytes: number }) => {
    switch (origin.kind) {
      case 'entry': return admission.recordPathLevel(origin.root.entryOpKey, report.pathLevel)
      case 'child': return origin.parent.addChild(report)
    }
  }

  const recordRequest = (parsed: ParsedRequest, admitted: Admitted, requestResult: RequestResult, startedMs: number) => {
    const { root, kind } = admitted.origin
    const durationMs = clock.nowMs() - startedMs
    stats.requestEnded({ entry: kind === 'entry', service: parsed.service, durationMs, ...requestResult })
    records.add({
      requestId: root.requestId,
      traceId: root.traceId,
      wallMs: clock.wallMs(),
      customer: root.customer,
      service: parsed.service,
      opKey: admitted.opKey,
      priority: root.priority,
      entry: kind === 'entry',
      admissionLevel: admission.level(root.entryOpKey),
      durationMs,
      ...requestResult
    })
  }

  const recordRejection = (parsed: ParsedRequest, requestId: string, { refusal, root }: Rejection) => {
    stats.requestEnded({ entry: true, service: parsed.service, status: 0, refusal: refusal.code, durationMs: 0, regionBytes: 0 })
    records.add({
      requestId,
      traceId: root?.traceId ?? parsed.trace?.traceId ?? '',
      wallMs: clock.wallMs(),
      customer: parsed.customer ?? '',
      service: parsed.service,
      opKey: root?.entryOpKey ?? `${parsed.method} ${parsed.service} ${parsed.pathname}`,
      priority: root?.priority ?? 0,
      entry: true,
      status: 0,
      outcome: refusal.outcome,
      detail: `${refusal.code}: ${refusal.detail}`,
      admissionLevel: root === undefined ? 0 : admission.level(root.entryOpKey),
      attempts: [],
      durationMs: 0,
      regionBytes: 0
    })
  }

  const handleRequest = async (req: IncomingMessage, res: ServerResponse, waitedMs: number): Promise<void> => {
    const startedMs = clock.nowMs() - waitedMs
    const parsed = parseRequest(req)
    if (parsed.isErr()) return writeRefusal(req, res, parsed.error, newTraceId())
    const decided = await admit(parsed.value)
    if (decided.isErr()) {
      const requestId = decided.error.root?.requestId ?? newTraceId()
      recordRejection(parsed.value, requestId, decided.error)
      return writeRefusal(req, res, decided.error.refusal, requestId)
    }
    const admitted = decided.value
    const deadline = deadlineOf(res, parsed.value, admitted, waitedMs)
    cancelWhenCallerLeaves(req, res, deadline)
    const { origin } = admitted
    const { root, kind } = origin
    const childEnded = origin.kind === 'child' ? origin.parent.childStarted() : undefined
    let requestResult: RequestResult
    try {
      requestResult = await serve(req, res, parsed.value, admitted, deadline)
    } catch (cause) {
      requestResult = refuse(req, res, root.requestId, unknownOutcome('internal-error', cause instanceof Error ? cause.message : String(cause)), [], 0)
    }
    endRequest(req, res, deadline)
    childEnded?.()
    if (kind === 'entry') ledger.close(root.requestId)
    recordRequest(parsed.value, admitted, requestResult, startedMs)
  }
  return countOpenRequests(handleRequest)
}

function refuse (
  req: IncomingMessage, res: ServerResponse, requestId: string, refusal: Refusal, attempts: AttemptRecord[], regionBytes: number
): RequestResult {
  writeRefusal(req, res, refusal, requestId)
  return { status: 0, outcome: refusal.outcome, detail: `${refusal.code}: ${refusal.detail}`, refusal: refusal.code, attempts, regionBytes }
}
