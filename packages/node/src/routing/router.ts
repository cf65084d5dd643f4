import type { Clock, LoadReport, Member, MemberRecord, MembersView, Random, RouteChoice, Router } from '@orioleslip/core'

type Track = {
  load: LoadReport | undefined
  learntMs: number
  ownInFlight: number
  sentSinceReport: number
  /** Share of recent calls that failed by a fault of the target. */
  faultShare: number
  faultShareMs: number
}

// A report loses its weight when no calls go to the VM, so that a VM that was full is tried again.
const REPORT_HALF_LIFE_MS = 1000
// Faults are forgiven in this time where no call is sent, so that the target is tried again.
const FAULT_HALF_LIFE_MS = 5000
// A target is judged by about its last 20 calls.
const FAULT_WEIGHT = 0.05
// Single faults among many calls don't move calls elsewhere: the other targets have such faults as well.
const TOLERATED_FAULT_SHARE = 0.1
// A target at which all calls fail counts as this many times busier than it is.
const FAULT_PENALTY = 16
// Moving a call costs bytes between failure domains or regions; the other target has to be this much less busy.
const MOVE_FACTOR = 2
// Queues of other regions cost two region round trips, so a short queue nearby is still the better choice.
const FULL_IN_REGION = 1
const FULL_BEFORE_CROSSING = 1.5
const FORGET_EVERY = 1024
// Overload ends within seconds; a target in another region is offered work again after this time.
const SHEDDING_MEMORY_MS = 5000

/** Creates the router of this node. */
export function createRouter (opts: { members: MembersView, clock: Clock, random: Random }): Router {
  const { members, clock, random } = opts
  const tracks = new Map<string, Track>()
  let changes = 0

  const trackOf = (vmId: string): Track => {
    const known = tracks.get(vmId)
    if (known !== undefined) return known
    const nowMs = clock.nowMs()
    const track: Track = { load: undefined, learntMs: nowMs, ownInFlight: 0, sentSinceReport: 0, faultShare: 0, faultShareMs: nowMs }
    tracks.set(vmId, track)
    return track
  }
  members.onChange(() => {
    if (++changes % FORGET_EVERY !== 0) return
    const known = new Set(members.all().map((member) => member.record.vmId))
    for (const [vmId, track] of tracks) if (!known.has(vmId) && track.ownInFlight === 0) tracks.delete(vmId)
  })

  const faultShareOf = (track: Track): number => track.faultShare * 0.5 ** ((clock.nowMs() - track.faultShareMs) / FAULT_HALF_LIFE_MS)
  const penaltyOf = (track: Track): number => FAULT_PENALTY * Math.max(0, faultShareOf(track) - TOLERATED_FAULT_SHARE)
  // Calls per slot that the target has or is about to have.
  const loadOf = (record: MemberRecord): number => {
    const track = tracks.get(record.vmId)
    const announced = Math.max(1, record.target?.capacity ?? 1)
    if (track === undefined) return 0
    if (track.load === undefined) return track.ownInFlight / announced
    const ageMs = clock.nowMs() - track.learntMs
    const reported = (track.load.inFlight + track.load.queued) * 0.5 ** (ageMs / REPORT_HALF_LIFE_MS)
    return Math.max(track.ownInFlight, reported + track.sentSinceReport) / Math.max(1, track.load.limit)
  }
  const costOf = (record: MemberRecord): number => {
    const track = tracks.get(record.vmId)
    return track === undefined ? 0 : (loadOf(record) + 0.1) * (1 + penaltyOf(track)) - 0.1
  }
  // A target that refuses work would refuse the offer too, and the bytes of the offer are paid for.
  const isShedding = (record: MemberRecord): boolean => {
    const track = tracks.get(record.vmId)
    return track?.load !== undefined && track.load.level > 0 && clock.nowMs() - track.learntMs < SHEDDING_MEMORY_MS
  }
  const twoChoices = (candidates: MemberRecord[]): MemberRecord => {
    const first = random.int(candidates.length)
    if (candidates.length === 1) return candidates[0]!
    const second = (first + 1 + random.int(candidates.length - 1)) % candidates.length
    const [a, b] = [candidates[first]!, candidates[second]!]
    return costOf(a) <= costOf(b) ? a : b
  }
  // Chooses among tiers without room. Where all are equally full, a call moved to another tier would cost bytes and gain nothing.
  const nearest = (tiers: MemberRecord[][]): MemberRecord | undefined => {
    let best: MemberRecord | undefined
    for (const tier of tiers) {
      if (tier.length === 0) continue
      const record = twoChoices(tier)
      if (best === undefined || costOf(record) * MOVE_FACTOR < costOf(best)) best = record
    }
    return best
  }
  const choose = (candidates: MemberRecord[], mayCrossRegion: boolean): MemberRecord | undefined => {
    const self = members.self()
    const inRegion = candidates.filter((record) => record.region === self.region)
    const nearby = inRegion.filter((record) => record.failureDomain === self.failureDomain)
    const spare = (tier: MemberRecord[], bound: number) => tier.filter((record) => costOf(record) < bound)
    const spareNearby = spare(nearby, FULL_IN_REGION)
    if (spareNearby.length > 0) return twoChoices(spareNearby)
    const spareInRegion = spare(inRegion, FULL_BEFORE_CROSSING)
    if (spareInRegion.length > 0) return twoChoices(spareInRegion)
    const elsewhere = mayCrossRegion ? candidates.filter((record) => record.region !== self.region) : []
    const unshedElsewhere = elsewhere.filter((record) => !isShedding(record))
    const spareAnywhere = spare(unshedElsewhere, FULL_IN_REGION)
    if (spareAnywhere.length > 0) return twoChoices(spareAnywhere)
    const inOtherDomains = inRegion.filter((record) => record.failureDomain !== self.failureDomain)
    return nearest([nearby, inOtherDomains, unshedElsewhere]) ?? nearest([elsewhere])
  }

  return {
    pick: ({ service, exclude, mayCrossRegion }): RouteChoice => {
      const all = members.ofService(service)
      if (all.length === 0) return { kind: 'none', reason: 'service-unknown' }
      const usable = usableMembers(all).map((member) => member.record)
      const reachable = mayCrossRegion ? usable : usable.filter((record) => record.region === members.self().region)
      if (reachable.length === 0) return { kind: 'none', reason: 'no-target' }
      const member = choose(reachable.filter((record) => !exclude.has(record.vmId)), mayCrossRegion)
      if (member === undefined) return { kind: 'none', reason: 'all-excluded' }
      return { kind: 'route', member, crossesRegion: member.region !== members.self().region }
    },
    learn: (vmId, load) => {
      const track = trackOf(vmId)
      track.load = load
      track.learntMs = clock.nowMs()
      track.sentSinceReport = 0
    },
    sent: (vmId) => {
      const track = trackOf(vmId)
      track.ownInFlight++
      track.sentSinceReport++
    },
    settled: (vmId, verdict) => {
      const track = trackOf(vmId)
      track.ownInFlight = Math.max(0, track.ownInFlight - 1)
      if (verdict === 'unknown') return
      const before = faultShareOf(track)
      track.faultShare = before + ((verdict === 'faulty' ? 1 : 0) - before) * FAULT_WEIGHT
      track.faultShareMs = clock.nowMs()
    }
  }
}

/** Members that may get work. When more than half of a service look failed, the failure detector is not believed. */
function usableMembers (all: readonly Member[]): Member[] {
  const ready = all.filter((member) => member.record.target?.state === 'ready' && member.liveness !== 'left')
  const alive = ready.filter((member) => member.liveness === 'alive')
  return alive.length * 2 < ready.length ? ready : alive
}
