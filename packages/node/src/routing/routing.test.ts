import test from 'ava'
import fc from 'fast-check'
import { createFakeClock, createSeededRandom } from '@orioleslip/core'
import type { Liveness, LoadReport, Member, MembersView, TargetState } from '@orioleslip/core'
import { createInterRegionBudget, VOLUME_BURST_S } from './inter-region-budget.js'
import { createRouter } from './router.js'

type Spec = { vmId: string, region?: string, domain?: string, state?: TargetState, liveness?: Liveness, service?: string }

function createMember (spec: Spec): Member {
  const region = spec.region ?? 'r1'
  return {
    liveness: spec.liveness ?? 'alive',
    record: {
      vmId: spec.vmId,
      incarnation: 1,
      version: 1,
      role: 'node',
      host: '127.0.0.1',
      peerPort: 1,
      callerPort: 1,
      gossipPort: 1,
      region,
      failureDomain: spec.domain ?? `${region}-a`,
      target: { service: spec.service ?? 's', capacity: 10, state: spec.state ?? 'ready' }
    }
  }
}

function createTestRouter (specs: Spec[]) {
  const all = specs.map(createMember)
  const self = createMember({ vmId: 'self', service: 'other' })
  const members: MembersView = {
    self: () => self.record,
    all: () => [...all, self],
    ofService: (service) => all.filter((member) => member.record.target?.service === service),
    knownCount: () => all.length + 1,
    onChange: () => () => {}
  }
  const clock = createFakeClock()
  const router = createRouter({ members, clock, random: createSeededRandom(1) })
  const countPicks = (picks: number, mayCrossRegion = true, exclude = new Set<string>()) => {
    const counts: Record<string, number> = {}
    for (let i = 0; i < picks; i++) {
      const choice = router.pick({ service: 's', exclude, mayCrossRegion })
      const name = choice.kind === 'route' ? choice.member.vmId : choice.reason
      counts[name] = (counts[name] ?? 0) + 1
    }
    return counts
  }
  return { clock, router, countPicks }
}

const FULL: LoadReport = { level: 0, inFlight: 10, queued: 10, limit: 10 }

// Guards against calls to a target that is leaving, starting, gone or failed while it is still in the member list.
test('only ready targets of alive members are picked', (t) => {
  const { countPicks } = createTestRouter([
    { vmId: 'a' }, { vmId: 'b' }, { vmId: 'c' }, { vmId: 'd' }, { vmId: 'e' },
    { vmId: 'f', state: 'leaving' }, { vmId: 'g', state: 'starting' }, { vmId: 'h', state: 'gone' },
    { vmId: 'i', liveness: 'failed' }, { vmId: 'j', liveness: 'suspect' }, { vmId: 'k', liveness: 'left' }
  ])
  t.deepEqual(Object.keys(countPicks(500)).sort(), ['a', 'b', 'c', 'd', 'e'])
})

// Guards against an outage caused by the failure detector: a network problem of this node can make it report a healthy service as failed.
test('when more than half of the members look failed, all are used except those that have left or are leaving', (t) => {
  const { countPicks } = createTestRouter([
    { vmId: 'a' }, { vmId: 'b', liveness: 'failed' }, { vmId: 'c', liveness: 'failed' }, { vmId: 'd', liveness: 'failed' },
    { vmId: 'e', liveness: 'left' }, { vmId: 'f', state: 'leaving' }
  ])
  t.deepEqual(Object.keys(countPicks(500)).sort(), ['a', 'b', 'c', 'd'])
})

// Guards against costly traffic and extra latency when calls go to distant targets while nearer ones have capacity.
test('nearer targets are preferred, and calls go to the next tier when a tier is full', (t) => {
  const { router, countPicks } = createTestRouter([
    { vmId: 'near' }, { vmId: 'region', domain: 'r1-b' }, { vmId: 'far', region: 'r2' }
  ])
  t.deepEqual(Object.keys(countPicks(50)), ['near'])
  router.recordLoad('near', FULL)
  t.deepEqual(Object.keys(countPicks(50)), ['region'])
  router.recordLoad('region', FULL)
  t.deepEqual(Object.keys(countPicks(50)), ['far'])
  // A distant target that is just as full is not worth the traffic; one that is much less full is.
  t.deepEqual(Object.keys(countPicks(50, false)), ['near'])
  router.recordLoad('near', { ...FULL, queued: 50 })
  t.deepEqual(Object.keys(countPicks(50, false)), ['region'])
})

// Guards against calls that leave their failure domain because of the occasional faults and cancelled calls that any busy target has.
test('occasional faults and calls cancelled by their callers don\'t move calls to other targets', (t) => {
  const { router, countPicks } = createTestRouter([{ vmId: 'near' }, { vmId: 'region', domain: 'r1-b' }])
  router.recordLoad('near', { ...FULL, queued: 0, inFlight: 6 })
  for (let i = 1; i <= 2000; i++) {
    router.callSent('near')
    router.callEnded('near', i % 50 === 0 ? 'faulty' : i % 10 === 0 ? 'unknown' : 'sound')
    if (i % 100 === 0) {
      router.recordLoad('near', { ...FULL, queued: 0, inFlight: 6 })
      t.deepEqual(countPicks(20), { near: 20 })
    }
  }
})

// Guards against calls offered to a target that gets all that it accepts, although it has free slots, while another one has room.
test('a target counts as full when it is offered the rate that it names', async (t) => {
  const { clock, router, countPicks } = createTestRouter([{ vmId: 'near' }, { vmId: 'region', domain: 'r1-b' }])
  const idle = { level: 0, inFlight: 1, queued: 0, limit: 10 }
  router.recordLoad('near', { ...idle, rate: { perSecond: 20, load: 0.5 } })
  t.deepEqual(Object.keys(countPicks(50)), ['near'])
  router.recordLoad('near', { ...idle, rate: { perSecond: 20, load: 1.2 } })
  t.deepEqual(Object.keys(countPicks(50)), ['region'])
  await clock.advance(1000)
  t.deepEqual(Object.keys(countPicks(50)), ['near'])
  for (let i = 0; i < 20; i++) router.callSent('near')
  t.deepEqual(Object.keys(countPicks(50)), ['region'])
  router.recordLoad('near', idle)
  for (let i = 0; i < 20; i++) router.callEnded('near', 'sound')
  t.deepEqual(Object.keys(countPicks(50)), ['near'])
})

// Guards against inter-region traffic for calls that a target refuses because it is shedding load.
test('a call does not cross regions to a target that sheds load', async (t) => {
  const { clock, router, countPicks } = createTestRouter([{ vmId: 'near' }, { vmId: 'far', region: 'r2' }])
  router.recordLoad('near', FULL)
  t.deepEqual(countPicks(10), { far: 10 })
  router.recordLoad('far', { level: 40, inFlight: 2, queued: 0, limit: 10 })
  t.deepEqual(countPicks(10), { near: 10 })
  await clock.advance(4000)
  router.recordLoad('near', FULL)
  t.deepEqual(countPicks(10), { near: 10 })
  await clock.advance(2000)
  router.recordLoad('near', FULL)
  t.deepEqual(countPicks(10), { far: 10 })
})

// Guards against retries at the VM that has just failed, and against refusals with the wrong reason when there is no route.
test('excluded VMs are not picked, and each cause of a missing route has its own reason', (t) => {
  const { router, countPicks } = createTestRouter([{ vmId: 'a', region: 'r2' }])
  t.deepEqual(countPicks(1, true, new Set(['a'])), { 'all-excluded': 1 })
  t.deepEqual(countPicks(1, false), { 'no-target': 1 })
  t.deepEqual(router.pick({ service: 'x', exclude: new Set(), mayCrossRegion: true }), { kind: 'none', reason: 'service-unknown' })
})

// Guards against a broken target that attracts all calls: it fails them immediately and so seems to be idle.
test('calls avoid a failing target and return to it slowly', async (t) => {
  const { clock, router, countPicks } = createTestRouter([{ vmId: 'a' }, { vmId: 'b' }])
  for (let i = 0; i < 10; i++) {
    router.callSent('a')
    router.callEnded('a', 'faulty')
  }
  t.is(countPicks(200).a, undefined)
  await clock.advance(60_000)
  t.true((countPicks(200).a ?? 0) > 50)
})

// Guards against herding: with outdated reports all nodes would pick the same least loaded target.
test('calls are distributed by reported load and own calls in flight', (t) => {
  const { router, countPicks } = createTestRouter([{ vmId: 'a' }, { vmId: 'b' }, { vmId: 'c' }])
  router.recordLoad('a', { level: 0, inFlight: 9, queued: 0, limit: 10 })
  for (let i = 0; i < 3; i++) router.callSent('b')
  const counts = countPicks(300)
  t.true((counts.c ?? 0) > (counts.b ?? 0) && (counts.b ?? 0) > (counts.a ?? 0))
})

// Guards against more inter-region traffic than the plan allows, when calls move more bytes than were reserved for them.
test('inter-region volume stays within rate * (T + burst) plus one call', (t) => {
  const callLists = fc.array(fc.tuple(fc.integer({ min: 0, max: 500 }), fc.integer({ min: 1, max: 400 })), { maxLength: 60 })
  return fc.assert(fc.asyncProperty(callLists, async (calls) => {
    const clock = createFakeClock()
    const budget = createInterRegionBudget({ clock, share: () => 0.5 })
    let moved = 0
    for (const [waitMs, bytes] of calls) {
      await clock.advance(waitMs)
      const reservation = budget.reserve('c', 'GET s /', 1000)
      if (reservation === undefined) continue
      moved += bytes
      reservation.settle(bytes)
      t.true(moved <= 500 * (clock.nowMs() / 1000 + VOLUME_BURST_S) + 400)
    }
    t.is(budget.reserve('c', 'GET s /', 0), undefined)
  }), { seed: 6 })
})
