import {
  notRun, systemClock, systemRandom,
  type Clock, type PeerAddress, type Random, type Refusal, type Settings
} from '@orioleslip/core'
import type { Logger } from 'pino'
import { startGateTicks } from '../admission/gate-ticks.js'
import { createTargetGate } from '../admission/target-gate.js'
import { createExecutor, type SendWaits, type UnframedResponse } from '../calls/executor.js'
import { createForwarder } from '../calls/forwarder.js'
import { createInboundCalls } from '../calls/inbound-calls.js'
import { createNodeStats, GAUGE_INTERVAL_MS, reportGauges, type MetricsSink } from '../calls/node-stats.js'
import { createGuardedTarget } from '../crashes/guarded-target.js'
import type { IdempotencyGuard } from '../idempotency/idempotency-guard.js'
import { createAnnouncedLimit } from '../limits/announced-limit.js'
import { createLatencies } from '../limits/latencies.js'
import type { IncomingCall } from '../links/incoming-call.js'
import { listenForPeers } from '../links/listener.js'
import type { CallReport } from '../links/messages.js'
import { createPeerPool } from '../links/pool.js'
import { createTargetWatch } from '../members/target-watch.js'
import { joinMembership } from '../membership.js'
import type { RunningNode } from '../node.js'
import { createRouter } from '../routing/router.js'
import { startCallerServer } from '../server/caller-server.js'
import { logUnanswered } from '../server/log-unanswered.js'
import { createAvailability } from '../server/drain.js'
import { createPlannedStop } from '../server/planned-stop.js'
import { createLocalTarget, type Announcement } from '../target/local-target.js'
import { createForeignResponseTest, createResponseCheck, createRoutedTargetHeaders, type CallHeaderNames } from './call-headers.js'
import { createDestinationChooser } from './destinations.js'
import { createRepeatBudget } from './repeat-budget.js'
import { createRouteHandler, type RequestSummary } from './route-handler.js'
import { createRoutedRetries } from './routed-retries.js'
import { createRoutesPoller } from './routes-poller.js'
import { createNoticeReader, type NoticeHeaderNames } from '../target/target-notices.js'

/** Dependencies and deployment settings of `startRoutedNode`. */
export type RoutedNodeDeps = {
  log: Logger
  /** Header names of this deployment. */
  names: CallHeaderNames
  /** Names of the headers in which the targets of this deployment say something of themselves. */
  notices: NoticeHeaderNames
  /** Service of the local target. */
  callerService: string
  metrics?: MetricsSink
  clock?: Clock
  random?: Random
}

/** A running node that forwards requests by routes. */
export type RoutedNode = RunningNode & {
  /** Applies an announcement of the local target; false when it is older than the one in effect, or has to wait. */
  announce: (announcement: Announcement) => Promise<boolean>
  /** Marks the target of this instance as leaving; resolves once other nodes know of it, with false when another instance is in effect. */
  withdraw: (instance: string) => Promise<boolean>
  /** True while callers should send their requests here. */
  isReady: () => boolean
}

/** Statuses with which a target reports that it, or a service behind it, failed. A gateway timeout leaves no time for a retry. */
const ERROR_STATUSES = new Set([500, 502])

/** Idle timeout of caller connections until the first routes are received, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000

/** Wait of a call between its sender and its target from which it is logged, in ms. */
const DELAYED_CALL_MS = 250

/** Starts the node of a target in a fleet that uses routes; rejects when a port can't be opened. */
export async function startRoutedNode (settings: Settings, deps: RoutedNodeDeps): Promise<RoutedNode> {
  const { log, names, metrics } = deps
  const clock = deps.clock ?? systemClock
  const random = deps.random ?? systemRandom
  const { vm, node: cfg, discovery, auth: { fleetKey } } = settings
  if (cfg === undefined || discovery === undefined) throw new Error('the settings need a [node] and a [discovery] table')
  const peerAddress: PeerAddress = { host: vm.address, port: cfg.peerPort }

  const members = await joinMembership(settings, { log, clock, random })
  const poller = createRoutesPoller({ seeds: discovery.seeds, members, fleetKey, vmId: vm.id, log, clock, random })
  const routes = () => poller.confirmed ? poller.current() : undefined
  const availability = createAvailability(clock, cfg.leaveSpreadMs)
  const inbound = createInboundCalls(clock.nowMs)
  const stats = createNodeStats(metrics)
  const gate = createTargetGate({ clock, limiter: createAnnouncedLimit() })
  const target = createLocalTarget(vm.address, {
    acceptUnframed: true, idHeader: names.requestId, clock, longestGapMs: members.longestGapMs
  })
  target.onStarted(gate.targetStarted)
  const watch = createTargetWatch({ clock, log, publish: (record) => members.announceTarget(record), silenceMs: cfg.targetSilenceMs })
  const pool = createPeerPool({ fleetKey, vmId: vm.id }, (kind, body) => handleRequest(kind, body))
  const { crashes, lifecycle, announce, withdraw, handleRequest } = createGuardedTarget({
    target, availability, watch, clock, log, host: vm.address, members, pool: () => pool
  })
  const executor = createExecutor({
    target,
    gate,
    inbound,
    guard: rejectingGuard,
    crashes,
    clock,
    callRefusal: lifecycle.callRefusal,
    sendRefusal: lifecycle.sendRefusal,
    recalled: availability.recalled,
    drainEnded: availability.drainEnded,
    onSent: (call, waits) => {
      lifecycle.onSent()
      if (waits.linkMs + waits.heldMs >= DELAYED_CALL_MS) logDelayedCall(log, call, waits)
    },
    onNotices: lifecycle.onNotices,
    targetHeaders: createRoutedTargetHeaders(names),
    isForeignResponse: createForeignResponseTest(names),
    checkResponse: createResponseCheck(names),
    readNotices: createNoticeReader(deps.notices),
    onRefused: (call, refusal, report) => logRefusedCall(log, call, refusal, report),
    onUnframed: (call, response) => logUnframedResponse(log, call, response)
  })
  const listener = await listenForPeers({
    address: peerAddress,
    identity: { fleetKey, vmId: vm.id },
    handlers: { onCall: executor.execute, onRequest: handleRequest },
    onRejected: (remote, message) => log.warn({ event: 'peer-rejected', remote }, `peer connection rejected: ${message}`)
  })
  const budget = createRepeatBudget({
    clock,
    random,
    settings: { ratio: cfg.repeatBudget.ratio, extra: cfg.repeatBudget.extra, windowMs: cfg.repeatBudget.windowS * 1000 },
    nodes: members.knownCount
  })
  const forwarder = createForwarder({
    self: members.self,
    router: createRouter({ members, clock, random }),
    pool,
    isErrorResponse: (status) => ERROR_STATUSES.has(status),
    mayRetry: createRoutedRetries(budget, (opKey) => routes()?.maxAttempts(opKey) ?? 1),
    regionBudget: { reserve: () => undefined },
    allowCrossRegion: true,
    latencies: createLatencies(clock),
    clock,
    onRetry: stats.retried,
    runLocally: executor.execute
  })
  const handler = createRouteHandler({
    names,
    callerService: deps.callerService,
    self: members.self,
    routes,
    entryRefusal: availability.entryRefusal,
    recalled: availability.recalled,
    drainEnded: availability.drainEnded,
    chooseDestination: createDestinationChooser(),
    budget,
    forwarder,
    clock,
    onEnded: (ending) => {
      logRequest(log, ending)
      const { service, status, refusal, durationMs } = ending
      stats.requestEnded({ entry: true, service, status, durationMs, regionBytes: 0, ...(refusal === undefined ? {} : { refusal }) })
    }
  })
  const limits = () => ({ idleTimeoutMs: poller.current()?.limits.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS })
  const callerAddress = { host: vm.address, port: cfg.callerPort }
  const server = await startCallerServer(callerAddress, handler.handle, handler.handle, {
    stopping: availability.stopping,
    limits,
    onUnanswered: (end) => logUnanswered(log, end, names.requestId)
  })
  const stopTicks = startGateTicks(gate)
  const gaugeTimer = setInterval(() => reportGauges(metrics, gate.load()), GAUGE_INTERVAL_MS)
  members.start()
  watch.start()
  log.info({ event: 'start', vmId: vm.id, callerPort: cfg.callerPort, peerPort: cfg.peerPort }, 'node started')

  const stop = async () => {
    stopTicks()
    clearInterval(gaugeTimer)
    watch.stop()
    members.stop()
    server.abort()
    pool.close()
    await Promise.all([server.drain(), listener.close(), poller.stop()])
  }
  const drain = createPlannedStop({
    availability,
    members,
    openWork: { inbound, openRequests: handler.openRequests },
    announceLeaving: () => {
      watch.leave()
      server.closeAfterResponses()
    },
    recordsWritten: () => Promise.resolve(),
    requestsEnded: server.drain,
    signalDelayMs: members.lateMs,
    drainTimeoutS: cfg.drainTimeoutS,
    clock,
    log,
    stop
  })
  return {
    drain,
    stop,
    isReady: () => !availability.stopping() && routes() !== undefined && members.isConfirmed(),
    announce,
    withdraw
  }
}

/** Guard for routed calls, which never carry an idempotency key. */
const rejectingGuard: Pick<IdempotencyGuard, 'begin'> = {
  begin: () => Promise.resolve({ kind: 'refuse', refusal: notRun('bad-request', 'routed calls carry no idempotency key') })
}

function logRefusedCall (log: Logger, { head, waitedMs }: IncomingCall, refusal: Refusal, { load, reachedTarget }: CallReport): void {
  log.info({
    event: 'call-refused',
    requestId: head.root.requestId,
    route: head.opKey,
    service: head.service,
    priority: head.root.priority,
    remainingMs: Math.round(head.remainingMs),
    linkWaitMs: Math.round(waitedMs),
    code: refusal.code,
    outcome: refusal.outcome,
    reachedTarget: reachedTarget === true,
    detail: refusal.detail,
    ...(load === undefined ? {} : { admissionLevel: load.level, inFlight: load.inFlight, queued: load.queued, limit: load.limit })
  }, 'call refused or abandoned at this node')
}

function logDelayedCall (log: Logger, { head }: IncomingCall, { linkMs, heldMs }: SendWaits): void {
  log.info({
    event: 'call-delayed',
    requestId: head.root.requestId,
    route: head.opKey,
    service: head.service,
    remainingMs: Math.round(head.remainingMs),
    linkWaitMs: Math.round(linkMs),
    heldMs: Math.round(heldMs)
  }, 'a call was sent to the target long after its sender had sent it here')
}

function logUnframedResponse (log: Logger, { head }: IncomingCall, response: UnframedResponse): void {
  log.info({
    event: 'unframed-response',
    requestId: head.root.requestId,
    route: head.opKey,
    bodyBytes: response.bodyBytes,
    connectionCalls: response.connectionCalls,
    connectionEnd: response.connectionEnd,
    unreadMs: Math.round(response.unreadMs),
    latencyMs: Math.round(response.latencyMs),
    end: response.end
  }, 'a response without a length has ended')
}

function logRequest (log: Logger, ending: RequestSummary): void {
  if (ending.outcome === 'complete' && ending.status < 500) log.debug({ event: 'request', ...ending }, 'request ended')
  else log.info({ event: 'request', ...ending }, 'request failed')
}
