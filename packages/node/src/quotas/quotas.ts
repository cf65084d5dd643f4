import type { AskQuota, Clock, MembersView, QuotaAsk, QuotaGrant, Quotas, QuotaVerdict } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'
import { createBuckets, MAX_BUCKETS } from './bucket.js'
import { createOwners } from './owner.js'

/** Time for which leased tokens may be used; it enters the bound as one second of rate. */
export const LEASE_MS = 1000
/** Wait for the owner before a node falls back to its own share. */
export const ASK_TIMEOUT_MS = 50
/** Demand that one lease covers. Shorter leases cost more messages, longer ones strand more tokens on nodes. */
const LEASE_COVER_MS = 500
/** A new lease is asked for when the tokens left cover less than this; four times the ask timeout. */
const PREFETCH_COVER_MS = 200
/** Demand below which nothing is prefetched: the token would mostly expire unused on this node. */
const PREFETCH_MIN_PER_SECOND = 4
/** Time constant of the demand estimate. */
const DEMAND_DECAY_MS = 1000
/** Time for which an owner that did not answer is not asked again. */
const OWNER_RETRY_MS = 250
/** Bounds of the time for which a node rejects by itself after the owner had no tokens. */
const MIN_DENIAL_MS = 20
const MAX_DENIAL_MS = 1000
/** Asks that one call waits for. */
const MAX_ASKS_PER_CALL = 2

/** Grant of a node that does not hold itself for the owner: it can't be used, and the asker falls back to its share. */
const NOT_OWNER: QuotaGrant = { tokens: 0, validMs: 0 }

export type QuotasOptions = {
  members: MembersView
  askQuota: AskQuota
  clock: Clock
  /** VM id of this node. */
  vmId: string
}

type Rate = { ratePerSecond: number, burst: number }

type Lot = { tokens: number, validUntilMs: number }

type Lease = {
  /** Granted tokens, the ones that expire first in front. */
  lots: Lot[]
  demandPerSecond: number
  demandAtMs: number
  deniedUntilMs: number
  asking?: Promise<void>
  /** Calls that wait for the ask in flight. */
  waiting: number
  /** Until then the own share is used, because the asked node does not hold itself for the owner. */
  ownerUnclearUntilMs: number
  /** Own share while the owner is unreachable; it starts empty, or all shares together would exceed the rate. */
  share?: { tokens: number, atMs: number }
}

const GRANTED: QuotaVerdict = { kind: 'granted' }

/** Creates the quotas of this node: leases for its callers and, as owner, buckets for other nodes. */
export function createQuotas ({ members, askQuota, clock, vmId }: QuotasOptions): Quotas {
  const buckets = createBuckets(clock)
  const owners = createOwners(members, () => buckets.keepOnly((customer) => owners.ownerOf(customer) === vmId))
  const leases = new LRUCache<string, Lease>({ max: MAX_BUCKETS })
  const silentOwners = new LRUCache<string, number>({ max: 1000 })

  const leaseOf = (customer: string): Lease => {
    const lease = leases.get(customer)
    if (lease !== undefined) return lease
    const created: Lease = {
      lots: [], demandPerSecond: 0, demandAtMs: clock.nowMs(), deniedUntilMs: 0, ownerUnclearUntilMs: -Infinity, waiting: 0
    }
    leases.set(customer, created)
    return created
  }

  const tokensOf = (lease: Lease): number => {
    const nowMs = clock.nowMs()
    lease.lots = lease.lots.filter(({ tokens, validUntilMs }) => tokens > 0 && validUntilMs > nowMs)
    return lease.lots.reduce((sum, { tokens }) => sum + tokens, 0)
  }

  const noteDemand = (lease: Lease) => {
    const nowMs = clock.nowMs()
    lease.demandPerSecond = lease.demandPerSecond * Math.exp((lease.demandAtMs - nowMs) / DEMAND_DECAY_MS) + 1000 / DEMAND_DECAY_MS
    lease.demandAtMs = nowMs
  }

  const grantOwn = (customer: string, wanted: number, { ratePerSecond, burst }: Rate, asker = vmId): QuotaGrant => {
    const fraction = owners.visibleFraction()
    const tokens = buckets.take(customer, wanted, ratePerSecond * fraction, burst * fraction)
    if (tokens > 0) return { tokens, validMs: LEASE_MS }
    const waitMs = asker === vmId
      ? buckets.waitMs(customer, ratePerSecond * fraction)
      : buckets.slotMs(customer, ratePerSecond * fraction)
    return { tokens: 0, validMs: Math.min(MAX_DENIAL_MS, Math.max(MIN_DENIAL_MS, waitMs)) }
  }

  const exceeded = (waitMs: number): QuotaVerdict => ({ kind: 'exceeded', retryAfterS: Math.max(1, Math.ceil(waitMs / 1000)) })

  const takeShare = (lease: Lease, { ratePerSecond }: Rate): QuotaVerdict => {
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

  const ownerIsSilent = (owner: string) => (silentOwners.get(owner) ?? -Infinity) > clock.nowMs()

  const ask = async (owner: string, customer: string, lease: Lease, rate: Rate): Promise<void> => {
    const askedMs = clock.nowMs()
    const wanted = Math.max(1, lease.waiting, Math.ceil(lease.demandPerSecond * LEASE_COVER_MS / 1000 - tokensOf(lease)))
    const question: QuotaAsk = { customer, ...rate, tokens: wanted, fromVm: vmId }
    const grant = await askQuota(owner, question, ASK_TIMEOUT_MS).catch(() => undefined)
    const nowMs = clock.nowMs()
    if (grant === undefined || grant.validMs === 0) {
      if (grant === undefined) silentOwners.set(owner, nowMs + OWNER_RETRY_MS)
      else lease.ownerUnclearUntilMs = nowMs + OWNER_RETRY_MS
      lease.share ??= { tokens: 0, atMs: nowMs }
      return
    }
    delete lease.share
    if (grant.tokens === 0) lease.deniedUntilMs = nowMs + grant.validMs
    // Counted from the ask, not from its answer: the owner's second of validity may not grow on the way.
    else lease.lots.push({ tokens: grant.tokens, validUntilMs: askedMs + grant.validMs })
  }

  const startAsk = (owner: string, customer: string, lease: Lease, rate: Rate): Promise<void> => {
    lease.asking ??= ask(owner, customer, lease, rate).finally(() => { delete lease.asking })
    return lease.asking
  }

  const needsMore = (lease: Lease, tokens: number, nowMs: number): boolean => {
    if (lease.demandPerSecond < PREFETCH_MIN_PER_SECOND) return false
    const lastsMs = tokens / lease.demandPerSecond * 1000
    const expiresMs = Math.max(...lease.lots.map(({ validUntilMs }) => validUntilMs)) - nowMs
    return Math.min(lastsMs, expiresMs) < PREFETCH_COVER_MS
  }

  /** Decides without a round trip; undefined when the owner has to be asked. */
  const decide = (owner: string | undefined, customer: string, lease: Lease, rate: Rate): QuotaVerdict | undefined => {
    const nowMs = clock.nowMs()
    if (owner === vmId) {
      const grant = grantOwn(customer, 1, rate)
      return grant.tokens > 0 ? GRANTED : exceeded(grant.validMs)
    }
    const unreachable = owner === undefined || ownerIsSilent(owner) || lease.ownerUnclearUntilMs > nowMs
    const tokens = tokensOf(lease)
    const lot = lease.lots[0]
    if (lot !== undefined) {
      lot.tokens -= 1
      if (!unreachable && lease.deniedUntilMs <= nowMs && needsMore(lease, tokens - 1, nowMs)) startAsk(owner, customer, lease, rate)
      return GRANTED
    }
    if (lease.deniedUntilMs > nowMs) return exceeded(lease.deniedUntilMs - nowMs)
    if (unreachable) return takeShare(lease, rate)
    return undefined
  }

  const takeAfterAsk = async (customer: string, lease: Lease, rate: Rate): Promise<QuotaVerdict> => {
    for (let i = 0; i < MAX_ASKS_PER_CALL; i++) {
      const owner = owners.ownerOf(customer)
      const verdict = decide(owner, customer, lease, rate)
      if (verdict !== undefined) return verdict
      if (owner === undefined) break
      lease.waiting++
      await startAsk(owner, customer, lease, rate)
      lease.waiting--
    }
    return decide(owners.ownerOf(customer), customer, lease, rate) ?? exceeded(MIN_DENIAL_MS)
  }

  return {
    take: (customer, ratePerSecond, burst) => {
      const lease = leaseOf(customer)
      const rate = { ratePerSecond, burst }
      noteDemand(lease)
      return decide(owners.ownerOf(customer), customer, lease, rate) ?? takeAfterAsk(customer, lease, rate)
    },
    answer: ({ customer, ratePerSecond, burst, tokens, fromVm }) => owners.ownerOf(customer) === vmId
      ? grantOwn(customer, tokens, { ratePerSecond, burst }, fromVm)
      : NOT_OWNER
  }
}
