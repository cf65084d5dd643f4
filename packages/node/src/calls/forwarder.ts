import {
  unknownOutcome,
  type CancelSignal, type Clock, type MemberRecord, type Operation, type Refusal, type RequestContext, type Router, type TargetVerdict
} from '@orioleslip/core'
import { fingerprintOf } from '../crashes/fingerprint.js'
import type { ByteQueue } from '../links/byte-queue.js'
import type { IncomingCall } from '../links/incoming-call.js'
import { createLocalCall } from '../links/local-call.js'
import type { CallHead, CallReport, ResponseHead } from '../links/messages.js'
import type { CallFinish, OutgoingCall } from '../links/outgoing-call.js'
import type { PeerPool } from '../links/pool.js'
import { cancelledRefusal, failureOf, refusalForNoRoute, verdictOfFinish, verdictOfReply, type AttemptResult } from './attempt-result.js'
import type { CallDeadline } from './call-deadline.js'
import { tooLate } from './entry-request.js'
import { newAttemptToken } from '../idempotency/token.js'
import { processReads, type SocketReads } from '../net/socket-reads.js'
import type { Latencies } from '../limits/latencies.js'
import type { InterRegionBudget, VolumeReservation } from '../routing/inter-region-budget.js'
import { createLeavingProcesses } from '../routing/leaving-processes.js'
import { bodyBytes, sendBody, type RequestBody } from './request-body.js'
import { untilAborted } from './until-aborted.js'

/** A call to be forwarded to a target of a service. */
export type ForwardRequest = {
  root: RequestContext
  service: string
  method: string
  path: string
  headers: string[]
  opKey: string
  /** Who sends the request, as far as its effect on a target may depend on it: host and calling service, or customer. */
  caller: string
  /** Absent for unlisted operations. */
  op: Operation | undefined
  body: RequestBody
  deadline: CallDeadline
  traceFlags: string
  /** Idempotency key of a non-repeatable call, claimed by the executor; each attempt gets a token of its own. */
  claimKey: string | undefined
  /** Asked before each attempt: refusal while this node must not start any; undefined otherwise. */
  attemptRefusal?: () => Refusal | undefined
  /** Aborts when this node takes back the calls that have not been sent to a target. */
  recalled?: CancelSignal
}

/** One attempt at one VM, for the decision record. */
export type AttemptRecord = { vmId: string, crossedRegion: boolean, result: string }

export type ForwardResult = { attempts: AttemptRecord[], report: CallReport } & (
  | { kind: 'answer', head: ResponseHead, body: ByteQueue, finish: Promise<CallFinish>, settle: (finish: CallFinish) => CallReport }
  | { kind: 'refused', refusal: Refusal }
  /** Contact with the executor was lost after the call was sent; only returned for non-repeatable calls. */
  | { kind: 'lost', token: string, message: string }
)

export type ForwarderOptions = {
  self: () => MemberRecord
  router: Router
  pool: PeerPool
  /** Decides whether a failed call is retried at another target. */
  mayRetry: MayRetry
  /** True for the status of a response after which a repeatable call is retried like a failed one; none by default. */
  isErrorResponse?: (status: number) => boolean
  regionBudget: InterRegionBudget
  /** True if calls may go to other regions without an inter-region volume of their operation. */
  allowCrossRegion?: boolean
  latencies: Latencies
  /** What has been read when a call is sent; the end of its caller's connection may wait behind it. */
  reads?: Pick<SocketReads, 'caughtUp'>
  clock: Clock
  /** Called before each retry. */
  onRetry: () => void
  runLocally: (call: IncomingCall) => void
}

/** A call that has failed at one target and could be retried at another. */
export type FailedCall = {
  req: ForwardRequest
  refusal: Refusal
  /** Number of attempts made so far. */
  attempts: number
  /** False only if the last target certainly did not receive the call. */
  reachedTarget: boolean
}

export type MayRetry = (failed: FailedCall) => boolean | Promise<boolean>

/** Approximate bytes of a call head on the wire without its headers, for the accounting of inter-region traffic. */
const HEAD_BYTES = 400
/** Shortest remaining time, in ms, with which a call may go to another region: two round trips of 40 ms. */
const MIN_CROSS_REGION_MS = 80

/** Largest body, in bytes, of a call that leaves its region because it may miss its deadline: inter-region traffic is paid by the byte. */
const MAX_LEAVING_BODY_BYTES = 16 * 1024
/**
 * A call is retried after an error response if at least this many median latencies are left. Errors that come late are most often those of
 * a request that was running out of time, and a second run would only add load.
 */
const RETRY_LATENCIES = 2

/** Creates the forwarder, which sends calls to targets: it picks the VM, accounts for inter-region traffic and retries failed attempts. */
export function createForwarder (options: ForwarderOptions) {
  const { router, pool, latencies, reads = processReads, clock } = options
  const leaving = createLeavingProcesses()

  /** Opens a call stream when the peer is connected; returns an error message if it can't be reached or `signal` aborts first. */
  const openCall = async (req: ForwardRequest, member: MemberRecord, head: () => CallHead): Promise<OutgoingCall | string> => {
    const { signal } = req.deadline
    // The outcome of a call with a claim is looked up in the key register instead.
    const callOptions = { outlivesSilence: req.claimKey === undefined && req.op?.repeatable === false }
    if (member.vmId === options.self().vmId) return createLocalCall(head(), options.runLocally)
    const found = pool.get({ host: member.host, port: member.peerPort })
    if (!(found instanceof Promise)) return found.openCall(head(), callOptions)
    const inTime = untilAborted(found, signal)
    const dialed = await (req.recalled === undefined ? inTime : untilAborted(inTime, req.recalled))
    if (dialed === undefined) return 'the deadline passed, or this node stopped, before the peer link to the node was open'
    return dialed.isOk() ? dialed.value.openCall(head(), callOptions) : dialed.error.message
  }

  const sendAttempt = async (req: ForwardRequest, member: MemberRecord, crossesRegion: boolean, fields: Pick<AttemptFields, 'claim' | 'fingerprint'>): Promise<AttemptResult> => {
    const deferBody = crossesRegion || req.body.kind === 'stream'
    const call = await openCall(req, member, () => headOf(req, { ...fields, deferBody, leavingProcess: leaving.of(member.vmId) }))
    if (typeof call === 'string') return { kind: 'ended', call: undefined, reply: { kind: 'notSent', message: call } }
    const cancel = () => call.cancel()
    if (req.deadline.signal.aborted) cancel()
    else req.deadline.signal.addEventListener('abort', cancel, { once: true })
    if (req.recalled?.aborted === true) call.recall()
    else req.recalled?.addEventListener('abort', call.recall, { once: true })
    sendBody(call, req.body, deferBody).catch(cancel)
    const reply = await call.reply
    req.recalled?.removeEventListener('abort', call.recall)
    if (reply.kind === 'head') return { kind: 'answer', call, head: reply.head, body: reply.body }
    req.deadline.signal.removeEventListener('abort', cancel)
    return { kind: 'ended', call, reply }
  }

  /** Reserves inter-region volume for a call; undefined if the call has to stay in its region. */
  const reserveVolume = (req: ForwardRequest, attempts: number): VolumeReservation | undefined => {
    const volume = req.op?.interRegionBytesPerSecond ?? 0
    if (attempts > 0 || volume === 0 || req.deadline.remainingMs() <= MIN_CROSS_REGION_MS) return undefined
    return options.regionBudget.reserve(req.root.customer, req.opKey, volume)
  }

  const recordReport = (vmId: string, { load, leavingProcess }: CallReport) => {
    if (load !== undefined) router.recordLoad(vmId, load)
    if (leavingProcess !== undefined) leaving.record(vmId, leavingProcess)
  }

  const forward = async (req: ForwardRequest): Promise<ForwardResult> => {
    const fingerprint = fingerprintOf(req)
    const attempts: AttemptRecord[] = []
    const tried = new Set<string>()
    let report: CallReport = { pathLevel: 0, regionBytes: 0 }
    let failure: Refusal | undefined
    // Once a target may have run the call, a later refusal must not report it as not run.
    let mayHaveRun: Refusal | undefined
    const refused = (refusal: Refusal): ForwardResult => ({
      kind: 'refused', refusal: refusal.outcome === 'not-run' ? mayHaveRun ?? refusal : refusal, attempts, report
    })
    const retry = async (refusal: Refusal, reachedTarget: boolean): Promise<boolean> => {
      failure = refusal
      if (!(await options.mayRetry({ req, refusal, attempts: attempts.length, reachedTarget }))) return false
      if (refusal.outcome !== 'not-run') mayHaveRun = refusal
      options.onRetry()
      return true
    }
    for (;;) {
      const unread = reads.caughtUp()
      if (unread !== undefined) await unread
      if (req.deadline.signal.aborted || req.deadline.remainingMs() <= 0) return refused(failure ?? tooLate())
      const attemptRefusal = req.attemptRefusal?.()
      if (attemptRefusal !== undefined) return refused(attemptRefusal)
      const volume = reserveVolume(req, attempts.length)
      const mayCrossRegion = options.allowCrossRegion === true || volume !== undefined
      const need = needOf(req)
      const choice = router.pick({ service: req.service, exclude: tried, mayCrossRegion, ...(need === undefined ? {} : { need }) })
      if (choice.kind === 'none') {
        volume?.settle(0)
        return refused(failure ?? refusalForNoRoute(req.service, choice.reason))
      }
      const { member, crossesRegion } = choice
      tried.add(member.vmId)
      router.callSent(member.vmId)
      const startedMs = clock.nowMs()
      const claim = req.claimKey === undefined ? undefined : { key: req.claimKey, token: newAttemptToken(clock) }
      const attempted = await sendAttempt(req, member, crossesRegion, { claim, fingerprint })
      const settle = (added: CallReport, verdict: TargetVerdict): CallReport => {
        const bytes = crossesRegion ? wireBytes(req, attempted.call) : 0
        volume?.settle(bytes)
        recordReport(member.vmId, added)
        router.callEnded(member.vmId, verdict)
        report = { pathLevel: Math.max(report.pathLevel, added.pathLevel), regionBytes: report.regionBytes + added.regionBytes + bytes }
        return report
      }
      const record = (result: string) => attempts.push({ vmId: member.vmId, crossedRegion: crossesRegion, result })

      if (attempted.kind === 'answer') {
        const { head, body, call } = attempted
        record(`answer ${head.status}`)
        const settleFinish = (finish: CallFinish): CallReport => {
          const latencyMs = clock.nowMs() - startedMs
          if (finish.kind === 'complete') {
            latencies.add(req.opKey, latencyMs)
            // An error response may come early; it does not show how long a region takes for an answer.
            if (head.status < 500) router.recordLatency(member.region, { opKey: req.opKey, latencyMs, answered: true })
          }
          return settle('report' in finish ? finish.report : NO_REPORT, verdictOfFinish(finish))
        }
        const isError = req.op?.repeatable === true && options.isErrorResponse?.(head.status) === true
        const hasTime = req.deadline.remainingMs() > RETRY_LATENCIES * latencies.p50Ms(req.opKey)
        if (isError && hasTime && await retry(unknownOutcome('bad-answer', `a target answered with status ${head.status}`), true)) {
          discardBody(body)
          call.finish.then(settleFinish)
          continue
        }
        return { kind: 'answer', head, body, finish: call.finish, settle: settleFinish, attempts, report }
      }
      const { reply } = attempted
      if (req.deadline.expired()) {
        router.recordLatency(member.region, { opKey: req.opKey, latencyMs: clock.nowMs() - startedMs, answered: false })
      }
      settle(reply.kind === 'refused' ? reply.report : NO_REPORT, verdictOfReply(req, reply))
      record(reply.kind === 'refused' ? `refused ${reply.refusal.code} (${reply.refusal.outcome})` : reply.kind)
      const ended = failureOf(req, reply)
      if (ended.kind === 'lost' && claim !== undefined) return { kind: 'lost', token: claim.token, message: ended.message, attempts, report }
      if (ended.kind === 'lost') return refused(cancelledRefusal(req))
      if (ended.kind === 'final') return refused(ended.refusal)
      const reachedTarget = reply.kind === 'refused' ? reply.report.reachedTarget === true : reply.kind !== 'notSent'
      if (!(await retry(ended.refusal, reachedTarget))) return refused(ended.refusal)
    }
  }
  return { forward }
}

export type Forwarder = ReturnType<typeof createForwarder>

/** Reads the rest of a response that nobody gets, so that its connection can be used again. */
function discardBody (body: ByteQueue): void {
  const discard = async () => { while (await body.read() !== undefined); }
  discard().catch(() => undefined)
}

/** Report of a call that reached no target. */
export const NO_REPORT: CallReport = { pathLevel: 0, regionBytes: 0 }

/** Fields of a call head that differ between the attempts of a call. */
type AttemptFields = { deferBody: boolean, claim: CallHead['claim'], fingerprint: number, leavingProcess: number | undefined }

function headOf (req: ForwardRequest, { deferBody, claim, fingerprint, leavingProcess }: AttemptFields): CallHead {
  const length = bodyBytes(req.body)
  return {
    root: req.root,
    service: req.service,
    method: req.method,
    path: req.path,
    headers: req.headers,
    opKey: req.opKey,
    remainingMs: req.deadline.remainingMs(),
    traceFlags: req.traceFlags,
    deferBody,
    fingerprint,
    ...(length === undefined ? {} : { bodyBytes: length }),
    ...(leavingProcess === undefined ? {} : { leavingProcess }),
    ...(claim === undefined ? {} : { claim })
  }
}

/** Operation and remaining time of a call; undefined if its body is too large to leave the region while targets there have free slots. */
function needOf (req: ForwardRequest): { opKey: string, availableMs: number } | undefined {
  if ((bodyBytes(req.body) ?? Infinity) > MAX_LEAVING_BODY_BYTES) return undefined
  return { opKey: req.opKey, availableMs: req.deadline.remainingMs() }
}

/** Number of bytes that a call moved between regions. */
function wireBytes (req: ForwardRequest, call: OutgoingCall | undefined): number {
  if (call === undefined) return 0
  const { sent, received } = call.bytes()
  return sent + received + HEAD_BYTES + req.headers.reduce((sum, part) => sum + part.length + 2, 0)
}
