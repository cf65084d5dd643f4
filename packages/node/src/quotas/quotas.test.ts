import { createFakeClock, createSeededRandom } from '@orioleslip/core'
import type { Liveness, Member, MembersView, Quotas } from '@orioleslip/core'
import test from 'ava'
import fc from 'fast-check'
import { createBuckets } from './bucket.js'
import { createOwners } from './owner.js'
import { createQuotas, LEASE_MS } from './quotas.js'

const CUSTOMER = 'branch-17'

/** Member table of one node whose content the test sets. */
function fakeView (ids: string[], selfId: string) {
  const liveness = new Map<string, Liveness>(ids.map((id) => [id, 'alive']))
  const listeners = new Set<() => void>()
  const memberOf = (vmId: string): Member => ({
    liveness: liveness.get(vmId) ?? 'failed',
    record: {
      vmId,
      incarnation: 1,
      version: 0,
      role: 'node',
      host: '10.0.0.1',
      peerPort: 1,
      callerPort: 2,
      gossipPort: 3,
      region: 'hofudborg',
      failureDomain: 'hofudborg-a',
      target: { service: 'claims', capacity: 55, state: 'ready' }
    }
  })
  const view: MembersView = {
    self: () => memberOf(selfId).record,
    all: () => ids.map(memberOf),
    ofService: () => ids.map(memberOf),
    knownCount: () => ids.length,
    onChange: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
  const set = (vmId: string, state: Liveness) => {
    liveness.set(vmId, state)
    for (const listener of listeners) listener()
  }
  return { view, set }
}

/** Nodes with quotas, joined by a network that can be cut. */
function createFleet (size: number, delayMs: number) {
  const clock = createFakeClock()
  const ids = Array.from({ length: size }, (_, i) => `node-${i}`)
  const views = ids.map((id) => fakeView(ids, id))
  const quotas: Quotas[] = []
  const net = { reaches: (_from: string, _to: string): boolean => true, asks: 0 }
  ids.forEach((vmId, i) => quotas.push(createQuotas({
    members: (views[i] as ReturnType<typeof fakeView>).view,
    clock,
    vmId,
    askQuota: async (to, ask, timeoutMs) => {
      net.asks++
      if (!net.reaches(vmId, to)) {
        await clock.sleep(timeoutMs)
        return undefined
      }
      await clock.sleep(delayMs)
      const grant = quotas[ids.indexOf(to)]?.answer(ask)
      await clock.sleep(delayMs)
      return grant
    }
  })))
  const ownerOf = (i = 0) => createOwners((views[i] as ReturnType<typeof fakeView>).view, () => {}).ownerOf(CUSTOMER)
  return { clock, ids, views, quotas, net, ownerOf }
}

type Fleet = ReturnType<typeof createFleet>
type Load = { ratePerSecond: number, burst: number, perSecond: number, seed: number, skew: number }

/** Sends requests for a time and adds the times of the granted ones to `granted`, in ms. */
async function run (fleet: Fleet, ms: number, load: Load, granted: number[], isUp = (_i: number) => true) {
  const random = createSeededRandom(load.seed)
  const endMs = fleet.clock.nowMs() + ms
  while (fleet.clock.nowMs() < endMs) {
    await fleet.clock.advance(Math.max(1, -Math.log(1 - random.next()) / load.perSecond * 1000))
    // A skew above 1 sends most requests to the first nodes.
    const i = Math.floor(fleet.quotas.length * random.next() ** load.skew)
    if (!isUp(i)) continue
    const verdict = fleet.quotas[i]?.take(CUSTOMER, load.ratePerSecond, load.burst)
    Promise.resolve(verdict).then((res) => { if (res?.kind === 'granted') granted.push(fleet.clock.nowMs()) })
  }
  await fleet.clock.advance(200)
}

/** Largest number of grants above `rate * T` over all windows T. */
function largestExcess (granted: number[], ratePerSecond: number): number {
  let lowest = Infinity
  let excess = 0
  granted.forEach((atMs, i) => {
    const earned = ratePerSecond * atMs / 1000
    lowest = Math.min(lowest, i - earned)
    excess = Math.max(excess, i + 1 - earned - lowest)
  })
  return excess
}

// Guards against a customer that gets more than its plan by spreading or skewing its requests over many entry nodes.
test('over every window the grants stay within rate * T + burst + rate * 1 s', async (t) => {
  await fc.assert(fc.asyncProperty(fc.record({
    size: fc.integer({ min: 1, max: 12 }),
    delayMs: fc.integer({ min: 0, max: 24 }),
    ratePerSecond: fc.integer({ min: 1, max: 200 }),
    burst: fc.integer({ min: 1, max: 100 }),
    overload: fc.double({ min: 0.3, max: 5, noNaN: true }),
    skew: fc.double({ min: 1, max: 6, noNaN: true }),
    seed: fc.integer(),
    idleMs: fc.integer({ min: 0, max: 100_000 })
  }), async ({ size, delayMs, overload, idleMs, ...rest }) => {
    const granted: number[] = []
    const fleet = createFleet(size, delayMs)
    await fleet.clock.advance(idleMs)
    await run(fleet, 6000, { ...rest, perSecond: Math.min(800, rest.ratePerSecond * overload) }, granted)
    return largestExcess(granted, rest.ratePerSecond) <= rest.burst + rest.ratePerSecond * LEASE_MS / 1000
  }), { seed: 11, numRuns: 40 })
  t.pass()
})

// Guards against leases that strand most of a customer's rate on nodes where nobody asks for it.
for (const skew of [1, 4]) {
  test(`an overloaded customer gets most of its rate, skew ${skew}`, async (t) => {
    const granted: number[] = []
    const load = { ratePerSecond: 100, burst: 50, perSecond: 300, seed: 3, skew }
    const fleet = createFleet(20, 10)
    await fleet.clock.advance(1000)
    await run(fleet, 10_000, load, granted)
    const share = granted.length / (load.ratePerSecond * 10)
    t.log({ share, asks: fleet.net.asks })
    t.true(share >= 0.9)
    // Per second at most one granted and one rejected ask per token, and one ask per node beyond them.
    t.true(fleet.net.asks <= 10 * (2 * load.ratePerSecond + 20))
  })
}

// Guards against a round trip on the call path while the customer is busy and within its rate.
test('a busy customer within its rate is granted without waiting', async (t) => {
  const fleet = createFleet(5, 10)
  const i = fleet.ids.findIndex((id) => id !== fleet.ownerOf())
  let waited = 0
  for (let n = 0; n < 500; n++) {
    if (n >= 50 && fleet.quotas[i]?.take(CUSTOMER, 100, 100) instanceof Promise) waited++
    else if (n < 50) fleet.quotas[i]?.take(CUSTOMER, 100, 100)
    await fleet.clock.advance(20)
  }
  t.is(waited, 0)
})

// Guards against doubled grants while the members notice a crash at different times, and against a stall until they do.
for (const seed of [1, 2, 3]) {
  test(`a crash of the owner adds at most the overlap of both owners, seed ${seed}`, async (t) => {
    const fleet = createFleet(10, 10)
    const load = { ratePerSecond: 100, burst: 50, perSecond: 300, seed, skew: 2 }
    const granted: number[] = []
    const owner = fleet.ownerOf() ?? ''
    const down = fleet.ids.indexOf(owner)
    // A long idle time before the load leaves the whole burst to be used.
    await fleet.clock.advance(60_000)
    const isUp = (i: number) => i !== down
    await run(fleet, 5000, load, granted, isUp)
    fleet.net.reaches = (_from, to) => to !== owner
    await run(fleet, 1000, load, granted, isUp)
    const noticedMs = fleet.clock.nowMs()
    const overlapMs = 2000
    const random = createSeededRandom(seed)
    const running = fleet.views.map(async ({ set }) => {
      await fleet.clock.sleep(random.next() * overlapMs)
      set(owner, 'failed')
    })
    const countBefore = granted.length
    await run(fleet, 5000, load, granted, isUp)
    await Promise.all(running)
    const excess = largestExcess(granted, load.ratePerSecond)
    const earned = (fleet.clock.nowMs() - noticedMs) / 1000 * load.ratePerSecond
    t.log({ excess: Math.round(excess), share: (granted.length - countBefore) / earned })
    t.true(excess <= load.burst + load.ratePerSecond * (LEASE_MS + overlapMs) / 1000)
    t.true(granted.length - countBefore >= load.ratePerSecond * 5 * 0.5)
  })
}

// Guards against a customer that gets its full rate in each half of a partition.
test('in a partition the halves together stay within the rate, and within twice the rate until they notice', async (t) => {
  const fleet = createFleet(10, 10)
  const load = { ratePerSecond: 100, burst: 50, perSecond: 400, seed: 5, skew: 1 }
  const near = (id: string) => fleet.ids.indexOf(id) < 5
  await fleet.clock.advance(60_000)
  await run(fleet, 5000, load, [])
  fleet.net.reaches = (from, to) => near(from) === near(to)
  const unnoticed: number[] = []
  await run(fleet, 3000, load, unnoticed)
  t.true(unnoticed.length <= 2 * load.ratePerSecond * 3.2 + load.burst + load.ratePerSecond)
  fleet.views.forEach(({ set }, i) => {
    for (const id of fleet.ids) if (near(id) !== (i < 5)) set(id, 'failed')
  })
  const noticed: number[] = []
  await run(fleet, 10_000, load, noticed)
  const excess = largestExcess(noticed, load.ratePerSecond)
  const shareOf = (times: number[], seconds: number) => times.length / (load.ratePerSecond * seconds)
  t.log({ unnoticedShare: shareOf(unnoticed, 3.2), noticedShare: shareOf(noticed, 10.2), excess })
  t.true(excess <= load.burst + load.ratePerSecond * LEASE_MS / 1000)
  t.true(noticed.length >= load.ratePerSecond * 10 * 0.8)
})

// Guards against 50 ms of waiting on every call while the owner is silent, and against a free first token on each of many nodes.
test('while the owner is silent all nodes together grant at most the rate and rarely ask', async (t) => {
  const fleet = createFleet(50, 10)
  fleet.net.reaches = () => false
  const granted: number[] = []
  const load = { ratePerSecond: 20, burst: 20, perSecond: 500, seed: 9, skew: 1 }
  const ownerIndex = fleet.ids.indexOf(fleet.ownerOf() ?? '')
  await run(fleet, 10_000, load, granted, (i) => i !== ownerIndex)
  t.true(granted.length <= load.ratePerSecond * 10.2)
  t.true(fleet.net.asks <= 50 * 10_000 / 250)
})

// Guards against memory growing with customers that came once, and against full buckets for those that were evicted.
test('evicted buckets do not come back full', async (t) => {
  const clock = createFakeClock()
  const buckets = createBuckets(clock, 100)
  await clock.advance(60_000)
  t.is(buckets.take('a', 50, 1, 50), 50)
  for (let i = 0; i < 100; i++) buckets.take(`other-${i}`, 1, 1, 50)
  t.is(buckets.take('a', 50, 1, 50), 0)
  await clock.advance(10_000)
  t.is(buckets.take('a', 50, 1, 50), 10)
})

// Guards against an uneven spread of owners, which would put all busy customers on a few nodes.
test('customers are spread evenly over the owners', (t) => {
  const ids = Array.from({ length: 50 }, (_, i) => `vm-nordurland-a-${i}`)
  const owners = createOwners(fakeView(ids, 'vm-nordurland-a-0').view, () => {})
  const counts = new Map<string, number>()
  for (let i = 0; i < 5000; i++) {
    const owner = owners.ownerOf(`customer-${i}`) ?? ''
    counts.set(owner, (counts.get(owner) ?? 0) + 1)
  }
  t.is(counts.size, 50)
  t.true(Math.max(...counts.values()) <= 160)
})
