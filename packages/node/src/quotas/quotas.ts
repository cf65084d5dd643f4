import type { Clock, MembersView, QuotaGrant, QuotaRequest, Quotas, QuotaVerdict, RequestQuota } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'
import { createBuckets, MAX_BUCKETS } from './bucket.js'
import { createOwners } from './owner.js'

/** Validity of leased tokens. A customer may exceed rate and burst by what the rate yields in this time. */
export const LEASE_MS = 1000
/** Timeout of a request to the owner, after which a node falls back to its share of the rate. */
export const REQUEST_TIMEOUT_MS = 50
/** Demand that one lease covers. Shorter leases cost more messages; with longer ones more tokens expire unused. */
const LEASE_COVER_MS = 500
/** A new lease is requested when the remaining tokens cover less than this; four times the request timeout. */
const PREFETCH_COVER_MS = 200
/** Demand below which no lease is prefetched, because its tokens would mostly expire unused. */
const PREFETCH_MIN_PER_SECOND = 4
/** Time constant of the demand estimate. */
const DEMAND_DECAY_MS = 1000
/** Time without further requests to an owner that did not reply. */
const OWNER_RETRY_MS = 250
/** Bounds of the time for which a node rejects calls without a request to the owner, after the owner had no tokens. */
const MIN_DENIAL_MS = 20
const MAX_DENIAL_MS = 1000
/** Requests to the owner that one call waits for. */
const MAX_REQUESTS_PER_CALL = 2

/** Reply of a node that is not the owner according to its own member table; the requesting node falls back to its share. */
const NOT_OWNER: QuotaGrant = { tokens: 0, validMs: 0 }

/** Dependencies of `createQuotas`. */
export type QuotasOptions = {
  members: MembersView
  requestQuota: RequestQuota
  clock: Clock
  /** VM id of this node. */
  vmId: string
}

type Rate = { ratePerSecond: number, burst: number }

type TokenBatch = { tokens: number, validUntilMs: number }

/** State of one customer's quota on a node that does not own it. */
type Lease = {
  /** Granted tokens, ordered by expiry. */
  batches: TokenBatch[]
  demandPerSecond: number
  demandAtMs: number
  deniedUntilMs: number
  pendingRequest?: Promise<void>
  /** Calls that wait for the pending request. */
  waitingCalls: number
  /** Until this time the fallback share is used, because the requested node replied that it is not the owner. */
  ownerMismatchUntilMs: number
  /** This node's share of the rate while the owner is unreachable. It starts empty; otherwise all shares together would exceed the rate. */
  share?: { tokens: number, atMs: number }
}

const GRANTED: QuotaVerdict = { kind: 'granted' }

/** Creates the quotas of this node: leases for its own callers, and token buckets for the customers that it owns. */
export function createQuotas ({ members, requestQuota, clock, vmId }: QuotasOptions): Quotas {
  const buckets = createBuckets(clock)
  const owners = createOwners(members, () => buckets.retainOwned((customer) => owners.ownerOf(customer) === vmId))
  const leases = new LRUCache<string, Lease>({ max: MAX_BUCKETS })
  const unresponsiveOwners = new LRUCache<string, number>({ max: 1000 })

  const leaseOf = (customer: string): Lease => {
    const lease = leases.get(customer)
    if (lease !== undefined) return lease
    const created: Lease = {
      batches: [], demandPerSecond: 0, demandAtMs: clock.nowMs(), deniedUntilMs: 0, ownerMismatchUntilMs: -Infinity, waitingCalls: 0
    }
    leases.set(customer, created)
    return created
  }

  const tokensOf = (lease: Lease): number => {
    const nowMs = clock.nowMs()
    lease.batches = lease.batches.filter(({ tokens, validUntilMs }) => tokens > 0 && validUntilMs > nowMs)
    return lease.batches.reduce((sum, { tokens }) => sum + tokens, 0)
  }

  const recordDemand = (lease: Lease) => {
    const nowMs = clock.nowMs()
    lease.demandPerSecond = lease.demandPerSecond * Math.exp((lease.demandAtMs - nowMs) / DEMAND_DECAY_MS) + 1000 / DEMAND_DECAY_MS
    lease.demandAtMs = nowMs
  }

  const grantAsOwner = (customer: string, wanted: number, { ratePerSecond, burst }: Rate, asker = vmId): QuotaGrant => {
    const fraction = owners.visibleFraction()
    const tokens = buckets.take(customer, wanted, ratePerSecond * fraction, burst * fraction)
    if (tokens > 0) return { tokens, validMs: LEASE_MS }
    const waitMs = asker === vmId
      ? buckets.waitMs(customer, ratePerSecond * fraction)
      : buckets.slotMs(customer, ratePerSecond * fraction)
    return { tokens: 0, validMs: Math.min(MAX_DENIAL_MS, Math.max(MIN_DENIAL_MS, waitMs)) }
  }

  const exceeded = (waitMs: number): QuotaVerdict => ({ kind: 'exceeded', retryAfterS: Math.max(1, Math.ceil(waitMs / 1000)) })

  const takeFallbackShare = (lease: Lease, { ratePerSecond }: Rate): QuotaVerdict => {
    const nowMs = clock.nowMs()
    const perSecond = ratePerSecond / owners.knownNodes()
    const share = lease.share ?? { tokens: 0, atMs: nowMs }
    share.tokens = Math.min(Math.max(1, perSecond), share.tokens + (nowMs - share.atMs) / 1000 * perSecond)
    share.atMs = nowMs
    lease.share = share
    if (share.tokens < 1) return exceeded((1 - share.tokens) / perSecond * 1000)
    share.tokens -= 1
    return GRANTED
  }

  const isUnresponsive = (owner: string) => (unresponsiveOwners.get(owner) ?? -Infinity) > clock.nowMs()

  const requestTokens = async (owner: string, customer: string, lease: Lease, rate: Rate): Promise<void> => {
    const requestedMs = clock.nowMs()
    const wanted = Math.max(1, lease.waitingCalls, Math.ceil(lease.demandPerSecond * LEASE_COVER_MS / 1000 - tokensOf(lease)))
    const request: QuotaRequest = { customer, ...rate, tokens: wanted, fromVm: vmId }
    const grant = await requestQuota(owner, request, REQUEST_TIMEOUT_MS).catch(() => undefined)
    const nowMs = clock.nowMs()
    if (grant === undefined || grant.validMs === 0) {
      if (grant === undefined) unresponsiveOwners.set(owner, nowMs + OWNER_RETRY_MS)
      else lease.ownerMismatchUntilMs = nowMs + OWNER_RETRY_MS
      lease.share ??= { tokens: 0, atMs: nowMs }
      return
    }
    delete lease.share
    if (grant.tokens === 0) lease.deniedUntilMs = nowMs + grant.validMs
    // Validity counts from the request, not from the reply: the transfer time must not extend it.
    else lease.batches.push({ tokens: grant.tokens, validUntilMs: requestedMs + grant.validMs })
  }

  const startRequest = (owner: string, customer: string, lease: Lease, rate: Rate): Promise<void> => {
    lease.pendingRequest ??= requestTokens(owner, customer, lease, rate).finally(() => { delete lease.pendingRequest })
    return lease.pendingRequest
  }

  const prefetchDue = (lease: Lease, tokens: number, nowMs: number): boolean => {
    if (lease.demandPerSecond < PREFETCH_MIN_PER_SECOND) return false
    const coveredMs = tokens / lease.demandPerSecond * 1000
    const expiresMs = Math.max(...lease.batches.map(({ validUntilMs }) => validUntilMs)) - nowMs
    return Math.min(coveredMs, expiresMs) < PREFETCH_COVER_MS
  }

  /** Decides without a round trip; undefined when a request to the owner is needed. */
  const decideLocally = (owner: string | undefined, customer: string, lease: Lease, rate: Rate): QuotaVerdict | undefined => {
    const nowMs = clock.nowMs()
    if (owner === vmId) {
      const grant = grantAsOwner(customer, 1, rate)
      return grant.tokens > 0 ? GRANTED : exceeded(grant.validMs)
    }
    const unreachable = owner === undefined || isUnresponsive(owner) || lease.ownerMismatchUntilMs > nowMs
    const tokens = tokensOf(lease)
    const batch = lease.batches[0]
    if (batch !== undefined) {
      batch.tokens -= 1
      if (!unreachable && lease.deniedUntilMs <= nowMs && prefetchDue(lease, tokens - 1, nowMs)) startRequest(owner, customer, lease, rate)
      return GRANTED
    }
    if (lease.deniedUntilMs > nowMs) return exceeded(lease.deniedUntilMs - nowMs)
    if (unreachable) return takeFallbackShare(lease, rate)
    return undefined
  }

  const takeAfterRequest = async (customer: string, lease: Lease, rate: Rate): Promise<QuotaVerdict> => {
    for (let i = 0; i < MAX_REQUESTS_PER_CALL; i++) {
      const owner = owners.ownerOf(customer)
      const verdict = decideLocally(owner, customer, lease, rate)
      if (verdict !== undefined) return verdict
      if (owner === undefined) break
      lease.waitingCalls++
      await startRequest(owner, customer, lease, rate)
      lease.waitingCalls--
    }
    return decideLocally(owners.ownerOf(customer), customer, lease, rate) ?? exceeded(MIN_DENIAL_MS)
  }

  return {
    take: (customer, ratePerSecond, burst) => {
      const lease = leaseOf(customer)
      const rate = { ratePerSecond, burst }
      recordDemand(lease)
      return decideLocally(owners.ownerOf(customer), customer, lease, rate) ?? takeAfterRequest(customer, lease, rate)
    },
    grant: ({ customer, ratePerSecond, burst, tokens, fromVm }) => owners.ownerOf(customer) === vmId
      ? grantAsOwner(customer, tokens, { ratePerSecond, burst }, fromVm)
      : NOT_OWNER
  }
}
