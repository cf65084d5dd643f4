import {
  createCanceller, createListsIndex, listsSchema, systemClock, systemRandom,
  type CancelSignal, type Lists, type MemberRecord, type QuotaVerdict, type RouteChoice, type TargetGate
} from '@orioleslip/core'
import { createEntryAdmission } from '../admission/entry-admission.js'
import { createTargetGate } from '../admission/target-gate.js'
import { createCallHandler } from '../calls/call-handler.js'
import { createDecisionRecords } from '../calls/decision-records.js'
import { createExecutor } from '../calls/executor.js'
import { createForwarder } from '../calls/forwarder.js'
import { createInboundCalls } from '../calls/inbound-calls.js'
import { createNodeStats } from '../calls/node-stats.js'
import { resolveLostCall } from '../idempotency/lost-call.js'
import { createIdempotencyGuard } from '../idempotency/idempotency-guard.js'
import { createLatencies } from '../limits/latencies.js'
import { listenForPeers } from '../links/listener.js'
import { createPeerPool } from '../links/pool.js'
import { createLedgerRetries } from '../retries/ledger-retries.js'
import { createRetryLedger } from '../retries/retry-ledger.js'
import { createInterRegionBudget } from '../routing/inter-region-budget.js'
import { startCallerServer } from '../server/caller-server.js'
import { createLocalTarget } from '../target/local-target.js'
import { createFakeRegister } from './fake-register.js'

const HOST = '127.0.0.1'
const IDENTITY_KEY = 'a-fleet-key-for-tests'

/** Port of the loopback address on which nothing listens and which no listener gets by choosing a free one. */
export const REFUSED_PORT = 1

/** Default lists of a node pair: one repeatable read, one repeatable upload and one non-repeatable claim of the service "shop". */
export function pairLists (): Lists {
  return listsSchema.parse({
    customers: { c: 'p' },
    plans: {
      p: {
        ratePerSecond: 10_000,
        burst: 10_000,
        operations: [
          { service: 'shop', method: 'GET', path: '/items/:id', importance: 'browse', repeatable: true },
          { service: 'shop', method: 'PUT', path: '/sheets/:id', importance: 'upload', repeatable: true },
          { service: 'shop', method: 'POST', path: '/orders', importance: 'claim', repeatable: false }
        ]
      }
    }
  })
}

/** Settings of `startNodePair`. */
export type PairOptions = {
  /** Port of the executor's target. */
  targetPort: number
  retryAllowance?: number
  /** Region of the executor, "r1" by default; the entry node is in "r1". */
  executorRegion?: string
  lists?: Lists
  /** Verdict of the quotas on each request; granted by default. */
  quota?: QuotaVerdict
  /** Gate of the executor; `createTargetGate` by default. */
  gate?: TargetGate
  /** Takes back the requests of the entry node; never by default. */
  recalled?: CancelSignal
  /** Ends the drain of the entry node; never by default. */
  drainEnded?: CancelSignal
}

/** Starts an entry node and an executor node in this process, connected by a real peer link; membership, lists and register are fakes. */
export async function startNodePair (options: PairOptions) {
  const clock = systemClock
  const member = (vmId: string, region: string, peerPort: number): MemberRecord => ({
    vmId, incarnation: 1, version: 1, role: 'node', host: HOST, peerPort, callerPort: 0, gossipPort: 0, region, failureDomain: region
  })
  const entry = member('entry', 'r1', 1)
  const register = createFakeRegister()

  const gate = options.gate ?? createTargetGate({ clock })
  const target = createLocalTarget(HOST)
  target.onStarted(gate.targetStarted)
  const announceTarget = (port: number) => { target.announce({ service: 'shop', port, capacity: 10, state: 'ready', instance: 'i' }) }
  announceTarget(options.targetPort)
  const executorInbound = createInboundCalls(clock.nowMs)
  const executor = createExecutor({
    target,
    gate,
    inbound: executorInbound,
    guard: createIdempotencyGuard({ register, clock, log: { warn: () => {} }, vmId: 'executor' }),
    clock,
    callRefusal: () => undefined
  })
  const listener = await listenForPeers({
    address: { host: HOST, port: 0 },
    identity: { fleetKey: IDENTITY_KEY, vmId: 'executor' },
    handlers: { onCall: executor.execute, onRequest: () => undefined },
    onRejected: () => {}
  })
  const executorMember = member('executor', options.executorRegion ?? 'r1', listener.port)

  const ledger = createRetryLedger({ clock, retryAllowance: options.retryAllowance ?? 0 })
  const pool = createPeerPool({ fleetKey: IDENTITY_KEY, vmId: 'entry' }, () => undefined)
  const stats = createNodeStats(undefined)
  const records = createDecisionRecords(100)
  let picks = 0
  const pick = (): RouteChoice => {
    picks++
    return { kind: 'route', member: executorMember, crossesRegion: executorMember.region !== entry.region }
  }
  const latencies = createLatencies(clock)
  const forwarder = createForwarder({
    self: () => entry,
    router: { pick, recordLoad: () => {}, callSent: () => {}, callEnded: () => {}, recordLatency: () => {} },
    pool,
    mayRetry: createLedgerRetries(async (ctx) => ledger.take(ctx.requestId), latencies),
    regionBudget: createInterRegionBudget({ clock, share: () => 1 }),
    latencies,
    clock,
    onRetry: stats.retried,
    runLocally: () => { throw new Error('the entry has no target') }
  })
  const index = createListsIndex({ revision: 1, lists: options.lists ?? pairLists() })
  const handler = createCallHandler({
    self: () => entry,
    lists: () => index,
    entryRefusal: () => undefined,
    recalled: options.recalled ?? createCanceller().signal,
    drainEnded: options.drainEnded ?? createCanceller().signal,
    admission: createEntryAdmission({ clock, random: systemRandom }),
    quotas: { take: () => options.quota ?? { kind: 'granted' }, grant: () => ({ tokens: 0, validMs: 0 }) },
    ledger,
    inbound: createInboundCalls(clock.nowMs),
    forwarder,
    resolveLost: (call) => resolveLostCall({ register, clock }, call),
    records,
    stats,
    clock,
    stopping: () => false
  })
  const server = await startCallerServer({ host: HOST, port: 0 }, handler.handle, async (_req, res) => { res.end() })
  return {
    url: `http://${HOST}:${server.port}`,
    callerPort: server.port,
    /** Announces the executor's target at another port. */
    announceTarget,
    /** Closes the link between the two nodes; the next call opens a new one. */
    cutLink: () => pool.close(),
    stopExecutor: () => listener.close(),
    inFlight: () => executorInbound.size(),
    picks: () => picks,
    stats: stats.snapshot,
    records,
    register,
    stop: async () => {
      server.abort()
      pool.close()
      await Promise.all([server.drain(), listener.close()])
    }
  }
}

/** A running node pair. */
export type NodePair = Awaited<ReturnType<typeof startNodePair>>
