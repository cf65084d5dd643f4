import type { Clock, LoadReport, Member, MemberRecord, MembersView, Random, RouteChoice, Router, RouteRequest } from '@orioleslip/core'
import { createRegionChoice } from './region-choice.js'
import { createRegionLatencies } from './region-latencies.js'
import { createSubset } from './subset.js'

type TargetStats = {
  load: LoadReport | undefined
  /** Monotonic time of the last load report, in ms. */
  reportMs: number
  /** Calls of this node in flight at the target. */
  ownInFlight: number
  sentSinceReport: number
  /** Moving average of the share of calls that failed by a fault of the target, 0 to 1, as of `faultShareMs`. */
  faultShare: number
  faultShareMs: number
}

// The load in a report decays, so that a VM that was full is tried again although no calls to it bring a new report.
const REPORT_HALF_LIFE_MS = 1000
// The fault share decays while no calls are sent to the target, so that the target is tried again.
const FAULT_HALF_LIFE_MS = 5000
// Weight of one call in the moving average, which thus covers about the last 20 calls.
const FAULT_WEIGHT = 0.05
// Occasional faults are tolerated without a penalty, since the other targets have such faults as well.
const TOLERATED_FAULT_SHARE = 0.1
// A target at which all calls fail is rated about this many times busier than it is.
const FAULT_PENALTY = 16
// When every tier is full, a target farther away must be less busy by this factor, since traffic between failure domains or regions is
// paid for.
const MOVE_FACTOR = 2
// Cost (load per slot with the fault penalty) from which a target counts as full. A call to another region takes two inter-region round
// trips, so a short queue within the region is still the better choice.
const FULL_IN_REGION = 1
const FULL_BEFORE_CROSSING = 1.5
// Number of targets of one service in other regions among which a call that leaves its region is distributed.
const REMOTE_SUBSET_SIZE = 3
const CLEANUP_EVERY_CHANGES = 1024
// Overload usually ends within seconds; after this time calls are sent again to a target in another region that shed load.
const SHEDDING_BACKOFF_MS = 5000

/** Creates the router of this node, which picks the target of each call by distance, load and recent faults. */
export function createRouter (opts: { members: MembersView, clock: Clock, random: Random }): Router {
  const { members, clock, random } = opts
  const statsByVm = new Map<string, TargetStats>()
  const latencies = createRegionLatencies(clock)
  const chooseRegion = createRegionChoice({ self: () => members.self().region, latencies, random })
  const remoteSubset = createSubset(() => members.self().vmId)
  let changes = 0

  const statsOf = (vmId: string): TargetStats => {
    const known = statsByVm.get(vmId)
    if (known !== undefined) return known
    const nowMs = clock.nowMs()
    const stats: TargetStats = { load: undefined, reportMs: nowMs, ownInFlight: 0, sentSinceReport: 0, faultShare: 0, faultShareMs: nowMs }
    statsByVm.set(vmId, stats)
    return stats
  }
  members.onChange(() => {
    if (++changes % CLEANUP_EVERY_CHANGES !== 0) return
    const known = new Set(members.all().map((member) => member.record.vmId))
    for (const [vmId, stats] of statsByVm) if (!known.has(vmId) && stats.ownInFlight === 0) statsByVm.delete(vmId)
  })

  const faultShareOf = (stats: TargetStats): number => stats.faultShare * 0.5 ** ((clock.nowMs() - stats.faultShareMs) / FAULT_HALF_LIFE_MS)
  const penaltyOf = (stats: TargetStats): number => FAULT_PENALTY * Math.max(0, faultShareOf(stats) - TOLERATED_FAULT_SHARE)
  // Calls per slot that the target is running or has been sent, from its last report and this node's own calls; or calls as a share of the
  // rate that it names, if that is more.
  const loadOf = (record: MemberRecord): number => {
    const stats = statsByVm.get(record.vmId)
    const announced = Math.max(1, record.target?.capacity ?? 1)
    if (stats === undefined) return 0
    if (stats.load === undefined) return stats.ownInFlight / announced
    const ageMs = clock.nowMs() - stats.reportMs
    const { inFlight, queued, limit, rate } = stats.load
    const freshness = 0.5 ** (ageMs / REPORT_HALF_LIFE_MS)
    const slotLoad = Math.max(stats.ownInFlight, (inFlight + queued) * freshness + stats.sentSinceReport) / Math.max(1, limit)
    return rate === undefined ? slotLoad : Math.max(slotLoad, rate.load * freshness + stats.sentSinceReport / rate.perSecond)
  }
  const costOf = (record: MemberRecord): number => {
    const stats = statsByVm.get(record.vmId)
    return stats === undefined ? 0 : (loadOf(record) + 0.1) * (1 + penaltyOf(stats)) - 0.1
  }
  // A target that sheds load would refuse the call, and the bytes of its head are paid for even so.
  const isShedding = (record: MemberRecord): boolean => {
    const stats = statsByVm.get(record.vmId)
    return stats?.load !== undefined && stats.load.level > 0 && clock.nowMs() - stats.reportMs < SHEDDING_BACKOFF_MS
  }
  const pickOfTwo = (candidates: MemberRecord[]): MemberRecord => {
    const first = random.int(candidates.length)
    if (candidates.length === 1) return candidates[0]!
    const second = (first + 1 + random.int(candidates.length - 1)) % candidates.length
    const [a, b] = [candidates[first]!, candidates[second]!]
    return costOf(a) <= costOf(b) ? a : b
  }
  // Picks a target when every tier is full. If all are equally full, a call sent to another tier costs traffic without a gain.
  const pickFromFullTiers = (tiers: MemberRecord[][]): MemberRecord | undefined => {
    let best: MemberRecord | undefined
    for (const tier of tiers) {
      if (tier.length === 0) continue
      const record = pickOfTwo(tier)
      if (best === undefined || costOf(record) * MOVE_FACTOR < costOf(best)) best = record
    }
    return best
  }
  /** Picks a target in another region for a call that is at risk of missing its time in this one. */
  const pickFasterRegion = (candidates: MemberRecord[], need: RouteRequest['need']): MemberRecord | undefined => {
    if (need === undefined) return undefined
    let spareElsewhere: MemberRecord[] = []
    const otherRegions = () => {
      spareElsewhere = candidates.filter((record) =>
        record.region !== members.self().region && !isShedding(record) && costOf(record) < FULL_IN_REGION)
      return [...new Set(spareElsewhere.map((record) => record.region))]
    }
    const region = chooseRegion({ ...need, otherRegions })
    if (region === undefined) return undefined
    return pickOfTwo(remoteSubset(spareElsewhere.filter((record) => record.region === region), REMOTE_SUBSET_SIZE))
  }
  const choose = (candidates: MemberRecord[], { mayCrossRegion, need }: RouteRequest): MemberRecord | undefined => {
    const self = members.self()
    const inRegion = candidates.filter((record) => record.region === self.region)
    const nearby = inRegion.filter((record) => record.failureDomain === self.failureDomain)
    const spare = (tier: MemberRecord[], bound: number) => tier.filter((record) => costOf(record) < bound)
    const faster = mayCrossRegion ? pickFasterRegion(candidates, need) : undefined
    if (faster !== undefined) return faster
    const spareNearby = spare(nearby, FULL_IN_REGION)
    if (spareNearby.length > 0) return pickOfTwo(spareNearby)
    const spareInRegion = spare(inRegion, FULL_BEFORE_CROSSING)
    if (spareInRegion.length > 0) return pickOfTwo(spareInRegion)
    const elsewhere = mayCrossRegion ? candidates.filter((record) => record.region !== self.region) : []
    const unshedElsewhere = elsewhere.filter((record) => !isShedding(record))
    const spareAnywhere = spare(unshedElsewhere, FULL_IN_REGION)
    if (spareAnywhere.length > 0) return pickOfTwo(remoteSubset(spareAnywhere, REMOTE_SUBSET_SIZE))
    const inOtherDomains = inRegion.filter((record) => record.failureDomain !== self.failureDomain)
    return pickFromFullTiers([nearby, inOtherDomains, unshedElsewhere]) ?? pickFromFullTiers([elsewhere])
  }

  return {
    pick: (req): RouteChoice => {
      const { service, exclude, mayCrossRegion } = req
      const all = members.ofService(service)
      if (all.length === 0) return { kind: 'none', reason: 'service-unknown' }
      const usable = usableMembers(all).map((member) => member.record)
      const reachable = mayCrossRegion ? usable : usable.filter((record) => record.region === members.self().region)
      if (reachable.length === 0) return { kind: 'none', reason: 'no-target' }
      const member = choose(reachable.filter((record) => !exclude.has(record.vmId)), req)
      if (member === undefined) return { kind: 'none', reason: 'all-excluded' }
      return { kind: 'route', member, crossesRegion: member.region !== members.self().region }
    },
    recordLoad: (vmId, load) => {
      const stats = statsOf(vmId)
      stats.load = load
      stats.reportMs = clock.nowMs()
      stats.sentSinceReport = 0
    },
    callSent: (vmId) => {
      const stats = statsOf(vmId)
      stats.ownInFlight++
      stats.sentSinceReport++
    },
    callEnded: (vmId, verdict) => {
      const stats = statsOf(vmId)
      stats.ownInFlight = Math.max(0, stats.ownInFlight - 1)
      if (verdict === 'unknown') return
      const before = faultShareOf(stats)
      stats.faultShare = before + ((verdict === 'faulty' ? 1 : 0) - before) * FAULT_WEIGHT
      stats.faultShareMs = clock.nowMs()
    },
    recordLatency: (region, { opKey, latencyMs, answered }) => {
      if (answered) latencies.add(region, opKey, latencyMs)
      else latencies.addLowerBound(region, opKey, latencyMs)
    }
  }
}

/** Returns the members that may get calls. If more than half of a service look failed, the failure detector is assumed to be wrong. */
function usableMembers (all: readonly Member[]): Member[] {
  const ready = all.filter((member) => member.record.target?.state === 'ready' && member.liveness !== 'left')
  const alive = ready.filter((member) => member.liveness === 'alive')
  return alive.length * 2 < ready.length ? ready : alive
}
