import { notRun, unknownOutcome, type Clock, type MemberRecord, type Operation, type Refusal, type RootContext, type Router, type TargetVerdict } from '@orioleslip/core'
import type { ByteQueue } from '../links/byte-queue.js'
import type { IncomingCall } from '../links/incoming-call.js'
import { createLocalCall } from '../links/local-call.js'
import type { CallHead, CallReport, ResponseHead } from '../links/messages.js'
import type { CallFinish, CallReply, OutgoingCall } from '../links/outgoing-call.js'
import type { PeerPool } from '../links/pool.js'
import type { CallDeadline } from './call-deadline.js'
import { newAttemptToken } from '../idempotency/token.js'
import type { Latencies } from '../limits/latencies.js'
import type { InterRegionBudget, VolumeReservation } from '../routing/inter-region-budget.js'
import { bodyBytes, sendBody, type RequestBody } from './request-body.js'

/** A call to be sent to a target of a service. */
export type ForwardRequest = {
  root: RootContext
  service: string
  method: string
  path: string
  headers: string[]
  opKey: string
  /** Absent for unlisted operations. */
  op: Operation | undefined
  body: RequestBody
  deadline: CallDeadline
  traceFlags: string
  /** Idempotency key of a non-repeatable call; each attempt gets a token of its own. */
  onceKey: string | undefined
}

/** One try at one VM, for the decision record. */
export type AttemptRecord = { vmId: string, crossedRegion: boolean, result: string }

export type ForwardResult = { attempts: AttemptRecord[], report: CallReport } & (
  | { kind: 'answer', head: ResponseHead, body: ByteQueue, finish: Promise<CallFinish>, settle: (finish: CallFinish) => CallReport }
  | { kind: 'refused', refusal: Refusal }
  /** Contact with the executor was lost after the call was sent; only non-repeatable calls come back like this. */
  | { kind: 'lost', token: string, message: string }
)

export type ForwarderOptions = {
  self: () => MemberRecord
  router: Router
  pool: PeerPool
  /** Decides whether a failed call is sent to another target. */
  mayTryAgain: MayTryAgain
  regionBudget: InterRegionBudget
  /** True where calls may go to other regions without a volume of their operation. */
  regionsOpen?: boolean
  latencies: Latencies
  clock: Clock
  /** Called for each retry that the ledger granted. */
  onRetry: () => void
  runLocally: (call: IncomingCall) => void
}

/** A call that has failed at one target and could be sent to another. */
export type FailedCall = {
  req: ForwardRequest
  refusal: Refusal
  /** Targets that the call was sent to, as far as is known. */
  attempts: number
  /** False only when the last target certainly did not get the call. */
  reachedTarget: boolean
}

export type MayTryAgain = (failed: FailedCall) => boolean | Promise<boolean>

/** Bytes of a call head on the wire beyond its headers; used for the account of inter-region traffic. */
const HEAD_BYTES = 400
/** Shortest time left with which a call may go to another region: two round trips of 40 ms. */
const MIN_CROSS_REGION_MS = 80
type Attempt =
  | { kind: 'answer', call: OutgoingCall, head: ResponseHead, body: ByteQueue }
  | { kind: 'ended', call: OutgoingCall | undefined, reply: Exclude<CallReply, { kind: 'head' }> | { kind: 'notSent', message: string } }

/** What an attempt that gave no answer means for the request. */
type Failure =
  | { kind: 'failed', refusal: Refusal }
  | { kind: 'final', refusal: Refusal }
  | { kind: 'lost', message: string }

/** Sends calls to targets: choice of the VM, regions, retries within the allowance of the root request. */
export function createForwarder (options: ForwarderOptions) {
  const { router, pool, latencies, clock } = options

  /** Opens a call stream once the node is connected; a call whose caller has gone by then is not sent. */
  const open = async (member: MemberRecord, head: () => CallHead, signal: AbortSignal): Promise<OutgoingCall | string> => {
    if (member.vmId === options.self().vmId) return createLocalCall(head(), options.runLocally)
    const found = pool.get({ host: member.host, port: member.peerPort })
    if (!(found instanceof Promise)) return found.openCall(head())
    const dialed = await untilAborted(found, signal)
    if (dialed === undefined) return 'the deadline passed before the node was reached'
    return dialed.isOk() ? dialed.value.openCall(head()) : dialed.error.message
  }

  const attempt = async (req: ForwardRequest, member: MemberRecord, crosses: boolean, once: CallHead['once']): Promise<Attempt> => {
    const offer = crosses || req.body.kind === 'stream'
    const call = await open(member, () => headOf(req, offer, once), req.deadline.signal)
    if (typeof call === 'string') return { kind: 'ended', call: undefined, reply: { kind: 'notSent', message: call } }
    const cancel = () => call.cancel()
    if (req.deadline.signal.aborted) cancel()
    else req.deadline.signal.addEventListener('abort', cancel, { once: true })
    sendBody(call, req.body, offer).catch(cancel)
    const reply = await call.reply
    if (reply.kind === 'head') return { kind: 'answer', call, head: reply.head, body: reply.body }
    req.deadline.signal.removeEventListener('abort', cancel)
    return { kind: 'ended', call, reply }
  }

  /** Volume for a call to another region; undefined when the call has to stay in its own. */
  const reserveVolume = (req: ForwardRequest, attempts: number): VolumeReservation | undefined => {
    const volume = req.op?.interRegionBytesPerSecond ?? 0
    if (attempts > 0 || volume === 0 || req.deadline.remainingMs() <= MIN_CROSS_REGION_MS) return undefined
    return options.regionBudget.reserve(req.root.customer, req.opKey, volume)
  }

  const learn = (vmId: string, report: CallReport) => { if (report.load !== undefined) router.learn(vmId, report.load) }

  const forward = async (req: ForwardRequest): Promise<ForwardResult> => {
    const attempts: AttemptRecord[] = []
    const tried = new Set<string>()
    let report: CallReport = { pathLevel: 0, regionBytes: 0 }
    let failure: Refusal | undefined
    for (;;) {
      const volume = reserveVolume(req, attempts.length)
      const mayCrossRegion = options.regionsOpen === true || volume !== undefined
      const choice = router.pick({ service: req.service, exclude: tried, mayCrossRegion })
      if (choice.kind === 'none') {
        volume?.settle(0)
        return { kind: 'refused', refusal: failure ?? refusalOfNone(req.service, choice.reason), attempts, report }
      }
      const { member, crossesRegion } = choice
      tried.add(member.vmId)
      router.sent(member.vmId)
      const startedMs = clock.nowMs()
      const once = req.onceKey === undefined ? undefined : { key: req.onceKey, token: newAttemptToken(clock) }
      const tries = await attempt(req, member, crossesRegion, once)
      const settle = (part: CallReport, verdict: TargetVerdict): CallReport => {
        const bytes = crossesRegion ? wireBytes(req, tries.call) : 0
        volume?.settle(bytes)
        learn(member.vmId, part)
        router.settled(member.vmId, verdict)
        report = { pathLevel: Math.max(report.pathLevel, part.pathLevel), regionBytes: report.regionBytes + part.regionBytes + bytes }
        return report
      }
      const record = (result: string) => attempts.push({ vmId: member.vmId, crossedRegion: crossesRegion, result })

      if (tries.kind === 'answer') {
        record(`answer ${tries.head.status}`)
        return {
          kind: 'answer',
          head: tries.head,
          body: tries.body,
          finish: tries.call.finish,
          settle: (finish) => {
            if (finish.kind === 'complete') latencies.add(req.opKey, clock.nowMs() - startedMs)
            return settle('report' in finish ? finish.report : NO_REPORT, verdictOfFinish(finish))
          },
          attempts,
          report
        }
      }
      const { reply } = tries
      settle(reply.kind === 'refused' ? reply.report : NO_REPORT, verdictOfReply(req, reply))
      record(reply.kind === 'refused' ? `refused ${reply.refusal.code} (${reply.refusal.outcome})` : reply.kind)
      const ended = failureOf(req, reply)
      if (ended.kind === 'lost' && once !== undefined) return { kind: 'lost', token: once.token, message: ended.message, attempts, report }
      if (ended.kind !== 'failed') return { kind: 'refused', refusal: ended.kind === 'final' ? ended.refusal : cancelledRefusal(req), attempts, report }
      failure = ended.refusal
      const reachedTarget = reply.kind === 'refused' ? reply.report.reachedTarget === true : reply.kind !== 'notSent'
      if (!(await options.mayTryAgain({ req, refusal: failure, attempts: attempts.length, reachedTarget }))) {
        return { kind: 'refused', refusal: failure, attempts, report }
      }
      options.onRetry()
    }
  }
  return { forward }
}

export type Forwarder = ReturnType<typeof createForwarder>

/** The result of a promise, or undefined when the signal aborts first. */
function untilAborted<T> (promise: Promise<T>, signal: AbortSignal): Promise<T | undefined> {
  if (signal.aborted) return Promise.resolve(undefined)
  return new Promise((resolve, reject) => {
    const onAbort = () => resolve(undefined)
    signal.addEventListener('abort', onAbort, { once: true })
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort))
  })
}

const NO_REPORT: CallReport = { pathLevel: 0, regionBytes: 0 }

function headOf (req: ForwardRequest, offer: boolean, once: CallHead['once']): CallHead {
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
    offer,
    ...(length === undefined ? {} : { bodyBytes: length }),
    ...(once === undefined ? {} : { once })
  }
}

function failureOf (req: ForwardRequest, reply: Extract<Attempt, { kind: 'ended' }>['reply']): Failure {
  switch (reply.kind) {
    case 'refused': return { kind: 'failed', refusal: reply.refusal }
    case 'notSent': return { kind: 'failed', refusal: notRun('target-lost', reply.message, 1) }
    case 'lost':
      if (req.onceKey !== undefined) return reply
      return { kind: 'failed', refusal: unknownOutcome('target-lost', reply.message) }
    case 'cancelled': {
      const refusal = cancelledRefusal(req)
      return req.onceKey === undefined ? { kind: 'final', refusal } : { kind: 'lost', message: refusal.detail }
    }
  }
}

/** Bytes that a call moved between regions. */
function wireBytes (req: ForwardRequest, call: OutgoingCall | undefined): number {
  if (call === undefined) return 0
  const { sent, received } = call.bytes()
  return sent + received + HEAD_BYTES + req.headers.reduce((sum, part) => sum + part.length + 2, 0)
}

function verdictOfReply (req: ForwardRequest, reply: Extract<Attempt, { kind: 'ended' }>['reply']): TargetVerdict {
  // A target that held a call to its deadline may hang; a call that its caller gave up earlier says nothing.
  if (req.deadline.signal.aborted && !req.deadline.expired()) return 'unknown'
  switch (reply.kind) {
    case 'refused': return isFault(reply.refusal) ? 'faulty' : 'sound'
    case 'notSent': case 'lost': case 'cancelled': return 'faulty'
  }
}

function verdictOfFinish (finish: CallFinish): TargetVerdict {
  switch (finish.kind) {
    case 'complete': return 'sound'
    case 'cancelled': return 'unknown'
    case 'aborted': case 'lost': return 'faulty'
  }
}

/** True for refusals that tell of a broken target or node, not of a decision. */
function isFault (refusal: Refusal): boolean {
  return refusal.code === 'target-lost' || refusal.code === 'bad-answer' || refusal.code === 'internal-error'
}

function refusalOfNone (service: string, reason: 'service-unknown' | 'no-target' | 'all-excluded'): Refusal {
  switch (reason) {
    case 'service-unknown': return notRun('service-unknown', `no target has announced the service "${service}"`)
    case 'no-target': return notRun('no-target', `no target of "${service}" can take the call`, 1)
    case 'all-excluded': return notRun('no-target', `every reachable target of "${service}" has been tried`, 1)
  }
}

function cancelledRefusal (req: ForwardRequest): Refusal {
  return req.deadline.expired()
    ? unknownOutcome('deadline-exceeded', 'the deadline passed while a target held the call')
    : unknownOutcome('target-lost', 'the caller went away while a target held the call')
}
