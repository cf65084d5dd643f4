import type { Clock, LoadReport, Member, MemberRecord, MembersView, Random, RouteChoice, Router } from '@orioleslip/core'

type Track = {
  load: LoadReport | undefined
  learntMs: number
  ownInFlight: number
  sentSinceReport: number
  penalty: number
  penaltyMs: number
}

// A report loses its weight when no calls go to the VM, so that a VM that was full is tried again.
const REPORT_HALF_LIFE_MS = 1000
const PENALTY_HALF_LIFE_MS = 5000
const MAX_PENALTY = 16
// A remainder of this size would still decide between two idle targets.
const NEGLIGIBLE_PENALTY = 0.05
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
    const track: Track = { load: undefined, learntMs: nowMs, ownInFlight: 0, sentSinceReport: 0, penalty: 0, penaltyMs: nowMs }
    tracks.set(vmId, track)
    return track
  }
  members.onChange(() => {
    if (++changes % FORGET_EVERY !== 0) return
    const known = new Set(members.all().map((member) => member.record.vmId))
    for (const [vmId, track] of tracks) if (!known.has(vmId) && track.ownInFlight === 0) tracks.delete(vmId)
  })

  const penaltyOf = (track: Track): number => {
    const penalty = track.penalty * 0.5 ** ((clock.nowMs() - track.penaltyMs) / PENALTY_HALF_LIFE_MS)
    return penalty < NEGLIGIBLE_PENALTY ? 0 : penalty
  }
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
  const choose = (candidates: MemberRecord[], mayCrossRegion: boolean): MemberRecord | undefined => {
    const self = members.self()
    const inRegion = candidates.filter((record) => record.region === self.region)
    const nearby = inRegion.filter((record) => record.failureDomain === self.failureDomain)
    const spare = (tier: MemberRecord[], bound: number) => tier.filter((record) => costOf(record) < bound)
    const spareNearby = spare(nearby, FULL_IN_REGION)
    if (spareNearby.length > 0) return twoChoices(spareNearby)
    const spareInRegion = spare(inRegion, FULL_BEFORE_CROSSING)
    if (spareInRegion.length > 0) return twoChoices(spareInRegion)
    if (mayCrossRegion) {
      const elsewhere = candidates.filter((record) => record.region !== self.region && !isShedding(record))
      const spareAnywhere = spare(elsewhere, FULL_IN_REGION)
      if (spareAnywhere.length > 0) return twoChoices(spareAnywhere)
    }
    if (inRegion.length > 0) return twoChoices(inRegion)
    return mayCrossRegion && candidates.length > 0 ? twoChoices(candidates) : undefined
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
    settled: (vmId, ok) => {
      const track = trackOf(vmId)
      track.ownInFlight = Math.max(0, track.ownInFlight - 1)
      if (ok) return
      track.penalty = Math.min(MAX_PENALTY, penaltyOf(track) + 1)
      track.penaltyMs = clock.nowMs()
    }
  }
}

/** Members that may get work. When more than half of a service look failed, the failure detector is not believed. */
function usableMembers (all: readonly Member[]): Member[] {
  const ready = all.filter((member) => member.record.target?.state === 'ready' && member.liveness !== 'left')
  const alive = ready.filter((member) => member.liveness === 'alive')
  return alive.length * 2 < ready.length ? ready : alive
}
