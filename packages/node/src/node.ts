import {
  createRequestVerifier, HEADERS, systemClock, systemRandom,
  type Clock, type PeerAddress, type Random, type Settings
} from '@orioleslip/core'
import { toAuthority } from '@orioleslip/control/client'
import type { Logger } from 'pino'
import { createEntryAdmission } from './admission/entry-admission.js'
import { createUnlimitedGate, unlimitedAdmission, unlimitedQuotas } from './admission/pass-through.js'
import { startGateTicks } from './admission/gate-ticks.js'
import { createTargetGate } from './admission/target-gate.js'
import { createCallHandler } from './calls/call-handler.js'
import { createDecisionRecords } from './calls/decision-records.js'
import { createExecutor } from './calls/executor.js'
import { createForwarder } from './calls/forwarder.js'
import { createInboundCalls } from './calls/inbound-calls.js'
import { createNodeStats, GAUGE_INTERVAL_MS, reportGauges, type MetricsSink } from './calls/node-stats.js'
import { createGuardedTarget } from './crashes/guarded-target.js'
import { createControlCall } from './idempotency/control-call.js'
import { createIdempotencyGuard } from './idempotency/idempotency-guard.js'
import { resolveLostCall } from './idempotency/lost-call.js'
import { createRegisterClient } from './idempotency/register-client.js'
import { createLatencies } from './limits/latencies.js'
import { listenForPeers } from './links/listener.js'
import { createPeerRequestHandler, createQuotaRequestSender, createRetryRequestSender } from './links/peer-requests.js'
import { createPeerPool } from './links/pool.js'
import { createListsPoller } from './lists/poller.js'
import { createTargetWatch } from './members/target-watch.js'
import { joinMembership } from './membership.js'
import { createQuotas } from './quotas/quotas.js'
import { createLedgerRetries } from './retries/ledger-retries.js'
import { createRetryRequester } from './retries/request-retry.js'
import { createRetryLedger } from './retries/retry-ledger.js'
import { createInterRegionBudget } from './routing/inter-region-budget.js'
import { createRouter } from './routing/router.js'
import { startCallerServer } from './server/caller-server.js'
import { createAvailability } from './server/drain.js'
import { logUnanswered } from './server/log-unanswered.js'
import { createPlannedStop } from './server/planned-stop.js'
import { createWellKnown } from './server/well-known.js'
import { createLocalTarget } from './target/local-target.js'

/** Dependencies of `startNode`. */
export type NodeDeps = {
  log: Logger
  metrics?: MetricsSink
  clock?: Clock
  random?: Random
}

/** A running node. */
export type RunningNode = {
  /** Planned stop: refuses new work and completes calls in flight. Resolves when the node has stopped. */
  drain: () => Promise<void>
  /** Stops immediately; calls in flight are aborted. */
  stop: () => Promise<void>
}

/** Starts the node of a target; rejects when a port can't be opened. */
export async function startNode (settings: Settings, deps: NodeDeps): Promise<RunningNode> {
  const { log, metrics } = deps
  const clock = deps.clock ?? systemClock
  const random = deps.random ?? systemRandom
  const cfg = settings.node
  if (cfg === undefined) throw new Error('the settings have no [node] table')
  const { vm, auth: { fleetKey } } = settings
  const peerAddress: PeerAddress = { host: vm.address, port: cfg.peerPort }

  const callerAuthority = toAuthority(vm.address, cfg.callerPort)

  const members = await joinMembership(settings, { log, clock, random })
  const poller = createListsPoller({
    controls: settings.controls, fleetKey, vmId: vm.id, log, clock, random, callerAddress: callerAuthority
  })
  const availability = createAvailability(clock)
  const inbound = createInboundCalls(clock.nowMs)
  const stats = createNodeStats(metrics)
  const records = createDecisionRecords(cfg.decisionRecords)
  const gate = cfg.overloadControl ? createTargetGate({ clock }) : createUnlimitedGate()
  const target = createLocalTarget(vm.address)
  target.onStarted(gate.targetStarted)
  const watch = createTargetWatch({ clock, log, publish: (record) => members.announceTarget(record) })

  const ledger = createRetryLedger({ clock, retryAllowance: cfg.retryAllowance })
  const quotas = cfg.overloadControl
    ? createQuotas({ members, requestQuota: createQuotaRequestSender(() => pool, members), clock, vmId: vm.id })
    : unlimitedQuotas
  const handleEntryRequest = createPeerRequestHandler(ledger, quotas)
  const handlePeerRequest = (kind: string, body: unknown) => handleEntryRequest(kind, body) ?? handleRequest(kind, body)
  const pool = createPeerPool({ fleetKey, vmId: vm.id }, handlePeerRequest)

  const control = createControlCall({ controls: settings.controls, fleetKey, clock, random })
  const register = createRegisterClient(control.call)
  const guard = createIdempotencyGuard({ register, clock, log, vmId: vm.id, recalled: availability.recalled })
  const { crashes, lifecycle, announce, handleRequest } = createGuardedTarget({
    target, availability, watch, clock, log, host: vm.address, members, pool: () => pool
  })
  const { callRefusal, sendRefusal, onSent, onNotices } = lifecycle
  const { recalled, drainEnded } = availability
  const executor = createExecutor({
    target, gate, inbound, guard, crashes, clock, callRefusal, sendRefusal, recalled, drainEnded, onSent, onNotices
  })
  const listener = await listenForPeers({
    address: peerAddress,
    identity: { fleetKey, vmId: vm.id },
    handlers: { onCall: executor.execute, onRequest: handlePeerRequest },
    onRejected: (remote, message) => log.warn({ event: 'peer-rejected', remote }, `peer connection rejected: ${message}`)
  })
  const requestRetry = createRetryRequester({ clock, self: peerAddress, ledger, send: createRetryRequestSender(pool) })
  const latencies = createLatencies(clock)
  const forwarder = createForwarder({
    self: members.self,
    router: createRouter({ members, clock, random }),
    pool,
    // Without overload control the targets' own client libraries retry at each hop, without a limit by the ledger.
    mayRetry: cfg.overloadControl ? createLedgerRetries(requestRetry, latencies) : () => false,
    regionBudget: createInterRegionBudget({ clock, share: () => 1 / Math.max(1, members.knownCount()) }),
    latencies,
    clock,
    onRetry: stats.retried,
    runLocally: executor.execute
  })
  const admission = cfg.overloadControl ? createEntryAdmission({ clock, random }) : unlimitedAdmission
  const handler = createCallHandler({
    self: members.self,
    lists: () => poller.confirmed ? poller.current() : undefined,
    entryRefusal: availability.entryRefusal,
    recalled,
    drainEnded,
    admission,
    quotas,
    ledger,
    inbound,
    forwarder,
    resolveLost: (call) => resolveLostCall({ register, clock }, call),
    records,
    stats,
    clock,
    stopping: availability.stopping
  })
  const wellKnown = createWellKnown({
    authority: callerAuthority,
    verify: createRequestVerifier({ fleetKey, operators: settings.auth.operators, clock }),
    announce,
    records,
    members: members.all,
    stats: stats.snapshot,
    state: () => ({
      vmId: vm.id,
      revision: poller.current()?.revision ?? 0,
      listsConfirmed: poller.confirmed,
      waitingFor: poller.confirmed ? undefined : poller.waitingFor(),
      stopping: availability.stopping(),
      load: gate.load(),
      inFlight: inbound.size()
    })
  })
  const server = await startCallerServer({ host: vm.address, port: cfg.callerPort }, handler.handle, wellKnown, {
    stopping: availability.stopping,
    onUnanswered: (end) => logUnanswered(log, end, HEADERS.traceparent)
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
    guard.stop()
    server.abort()
    pool.close()
    await Promise.all([server.drain(), listener.close(), poller.stop(), control.close()])
  }
  const drain = createPlannedStop({
    availability,
    members,
    openWork: { inbound, openRequests: handler.openRequests },
    announceLeaving: () => {
      watch.leave()
      server.closeAfterResponses()
    },
    recordsWritten: guard.idle,
    requestsEnded: server.drain,
    signalDelayMs: members.lateMs,
    drainTimeoutS: cfg.drainTimeoutS,
    clock,
    log,
    stop
  })
  return { drain, stop }
}
