import { createSeededRandom } from '@orioleslip/core'
import type { Liveness } from '@orioleslip/core'
import test from 'ava'
import fc from 'fast-check'
import { decodeMessage, encodeMessage, updatesOf } from './message.js'
import { createSimWorld } from './sim-world.js'
import type { SimMember, SimOptions } from './sim-world.js'
import { FORGET_FAILED_MS, FORGET_LEFT_MS, MAX_DATAGRAM_BYTES } from './timing.js'

const SEED_HOST = '10.0.0.1'
const FLEET_KEY = 'key-of-the-simulated-fleet'

/** A fleet that has joined through its first member, a control process. */
async function joinedFleet (size: number, options: Partial<SimOptions> = {}) {
  const world = createSimWorld({ seed: 1, delayMs: 20, lossRate: 0.02, seeds: [SEED_HOST], ...options })
  const fleet = Array.from({ length: size }, (_, i) => world.add(i === 0 ? 'control-0' : `node-${i}`, { role: i === 0 ? 'control' : 'node' }))
  await world.advance(15_000)
  return { world, fleet, at: (i: number) => fleet[i] as SimMember }
}

const livenessOf = ({ members }: SimMember, vmId: string): Liveness | undefined =>
  members.all().find(({ record }) => record.vmId === vmId)?.liveness

const livenessSeenBy = (fleet: SimMember[], vmId: string) => [...new Set(fleet.map((member) => livenessOf(member, vmId)))]

const allAlive = (fleet: SimMember[], known = fleet) => fleet.every((member) =>
  known.every(({ members }) => livenessOf(member, members.self().vmId) === 'alive'))

// Guards against members that keep an incomplete table, because datagrams of it were lost at the join or because the seed started last.
test('members have the full table soon after the join, despite packet loss and a late seed', async (t) => {
  const world = createSimWorld({ seed: 2, delayMs: 20, lossRate: 0.1, seeds: ['10.0.9.9'] })
  const fleet = Array.from({ length: 60 }, (_, i) => world.add(`node-${i}`))
  await world.advance(5000)
  t.false(fleet.some(({ members }) => members.isConfirmed()))
  fleet.push(world.add('control-0', { host: '10.0.9.9', role: 'control' }))
  await world.advance(15_000)
  t.true(fleet.every(({ members }) => members.isConfirmed()))
  t.true(fleet.every(({ members }) => members.knownCount() === 61))
})

// Guards against a crashed member that other members still regard as alive and send work to, and against one that is never removed.
test('a crashed member is declared failed everywhere and removed after 10 minutes', async (t) => {
  const { world, fleet, at } = await joinedFleet(30)
  at(5).members.stop()
  const rest = fleet.filter((member) => member !== at(5))
  await world.advance(15_000)
  t.deepEqual(livenessSeenBy(rest, 'node-5'), ['failed'])
  t.is(at(1).members.knownCount(), 30)
  t.true(allAlive(rest))
  await world.advance(FORGET_FAILED_MS + 15_000)
  t.deepEqual(livenessSeenBy(rest, 'node-5'), [undefined])
})

// Guards against a planned stop that is reported as a failure, and against a member that is added again by a late update from a slow peer.
test('a member that leaves is recorded as left and removed after one minute', async (t) => {
  const { world, fleet, at } = await joinedFleet(30)
  const rest = fleet.filter((member) => member !== at(5))
  const left = at(5).members.leave()
  await world.advance(3000)
  await left
  t.deepEqual(livenessSeenBy(rest, 'node-5'), ['left'])
  t.is(at(1).members.knownCount(), 29)
  await world.advance(FORGET_LEFT_MS + 5000)
  t.deepEqual(livenessSeenBy(rest, 'node-5'), [undefined])
})

// Guards against a restarted process that inherits the state of its predecessor: `failed`, `left`, or the record of a target that is gone.
for (const end of ['crash', 'leave'] as const) {
  test(`a restarted process takes over the record of its predecessor after a ${end}`, async (t) => {
    const { world, fleet, at } = await joinedFleet(20)
    const { address, members } = at(5)
    members.announceTarget({ service: 'claims', capacity: 55, state: 'ready' })
    await world.advance(3000)
    if (end === 'crash') members.stop()
    else members.leave()
    await world.advance(end === 'crash' ? 15_000 : 2000)
    fleet[5] = world.add('node-5', { host: address.host })
    await world.advance(5000)
    t.true(allAlive(fleet))
    t.true(at(5).members.isConfirmed())
    t.true(fleet.every((member) => member.members.ofService('claims').length === 0))
  })
}

// Guards against a process that never joins, or that works with an incomplete table, because it restarts while all control VMs are down.
test('a process that restarts while its only seed is down joins through members that have its record', async (t) => {
  const { world, fleet, at } = await joinedFleet(30)
  at(0).members.stop()
  at(5).members.stop()
  await world.advance(1000)
  const restarted = world.add('node-5', { host: at(5).address.host })
  let confirmedWith: number | undefined
  restarted.members.onChange(() => { if (restarted.members.isConfirmed()) confirmedWith ??= restarted.members.knownCount() })
  await world.advance(15_000)
  t.is(confirmedWith, 30)
  fleet[5] = restarted
  t.true(allAlive(fleet.slice(1)))
})

// Guards against a restarted process that stays failed because the VM's clock was set back: its incarnation, taken from the clock, is then
// lower than that of its predecessor.
test('a process that restarts with an earlier clock becomes alive', async (t) => {
  const { world, fleet, at } = await joinedFleet(20)
  const { address, members } = at(5)
  const incarnation = members.self().incarnation + 86_400_000
  const future = { ...members.self(), incarnation }
  members.stop()
  for (const other of fleet) {
    other.members.mergeTable([{ vmId: 'node-5', incarnation, version: 0, liveness: 'alive', ageMs: 0, hash: 1, record: future }])
  }
  fleet[5] = world.add('node-5', { host: address.host })
  await world.advance(5000)
  t.true(fleet.every((member) => member.members.all().some(({ record }) => record.vmId === 'node-5' && record.incarnation > incarnation)))
  t.true(allAlive(fleet))
})

// Guards against a replaced VM that stays alive because its successor at the same address acknowledges the probes.
test('a VM replaced at the same address is declared failed and its successor alive', async (t) => {
  const { world, fleet, at } = await joinedFleet(20)
  const { address, members } = at(5)
  members.stop()
  await world.advance(100)
  fleet[5] = world.add('node-new', { host: address.host })
  await world.advance(5000)
  t.deepEqual(livenessSeenBy(fleet, 'node-5'), ['failed'])
  t.true(allAlive(fleet))
})

// Guards against a process that accepts work after a freeze, while the fleet has declared it failed, and against false failures of other
// members, because their acks arrived during the freeze.
test('a frozen process accepts no work until it has refuted its failure', async (t) => {
  const { world, fleet, at } = await joinedFleet(20)
  const { address, members } = at(5)
  const rest = fleet.filter((member) => member !== at(5))
  const incarnation = members.self().incarnation
  world.freeze(address.host)
  await world.advance(60_000)
  t.deepEqual(livenessSeenBy(rest, 'node-5'), ['failed'])
  t.false(members.isConfirmed())
  let confirmedBeforeRefuting = false
  members.onChange(() => { confirmedBeforeRefuting ||= members.isConfirmed() && members.self().incarnation === incarnation })
  world.thaw(address.host)
  await world.advance(3000)
  t.false(confirmedBeforeRefuting)
  t.true(members.isConfirmed())
  t.true(members.self().incarnation > incarnation)
  t.true(allAlive(fleet))
})

// Guards against a member that is declared failed because one other member can't reach it, although the rest of the fleet can.
test('a one-way loss between two members fails neither of them', async (t) => {
  const { world, fleet, at } = await joinedFleet(20)
  const [a, b] = [at(3).address.host, at(4).address.host]
  world.cut((from, to) => from.host === a && to.host === b)
  let failed = false
  for (const { members } of fleet) members.onChange(() => { failed ||= members.all().some(({ liveness }) => liveness === 'failed') })
  await world.advance(120_000)
  t.false(failed)
})

// Guards against a member that receives nothing and declares the rest of the fleet failed, and against one whose datagrams are all lost
// and that still counts as alive.
for (const direction of ['receives', 'sends'] as const) {
  test(`a member that no longer ${direction} anything is the only one to fail and recovers`, async (t) => {
    const { world, fleet, at } = await joinedFleet(20)
    const { host } = at(5).address
    const rest = fleet.filter((member) => member !== at(5))
    world.cut((from, to) => (direction === 'receives' ? to.host : from.host) === host)
    let wronglyFailed = false
    const isWrong = ({ record, liveness }: { record: { vmId: string }, liveness: Liveness }) => liveness === 'failed' && record.vmId !== 'node-5'
    for (const { members } of rest) members.onChange(() => { wronglyFailed ||= members.all().some(isWrong) })
    await world.advance(60_000)
    t.deepEqual(livenessSeenBy(rest, 'node-5'), ['failed'])
    t.false(wronglyFailed)
    world.cut(() => false)
    await world.advance(10_000)
    t.true(allAlive(fleet))
  })
}

// Guards against halves that stay separate after a partition, because each has declared the other failed and only one half has the seed.
for (const [size, seed] of [[40, 1], [40, 2], [120, 3]] as const) {
  test(`two halves of ${size} members merge within seconds after 3 minutes apart, seed ${seed}`, async (t) => {
    const { world, fleet } = await joinedFleet(size, { seed })
    const near = new Set(fleet.slice(0, size / 2).map(({ address }) => address.host))
    world.cut((from, to) => near.has(from.host) !== near.has(to.host))
    await world.advance(180_000)
    const first = fleet[0]?.members.all().filter(({ liveness }) => liveness === 'failed').length
    t.is(first, size / 2)
    world.cut(() => false)
    const bytes = world.stats.bytes
    let seconds = 0
    while (!allAlive(fleet) && seconds < 30) {
      await world.advance(1000)
      seconds++
    }
    t.log({ seconds, bytesSentPerMember: Math.round((world.stats.bytes - bytes) / size) })
    t.true(seconds <= 10)
  })
}

// Guards against datagrams above the path MTU, which are fragmented or lost; the longest VM ids give the largest datagrams.
test('datagrams stay within 1400 bytes with the longest VM ids', async (t) => {
  const world = createSimWorld({ seed: 4, delayMs: 20, lossRate: 0.02, seeds: [SEED_HOST] })
  const fleet = Array.from({ length: 40 }, (_, i) => world.add(`node-${i}`.padEnd(64, 'x')))
  await world.advance(8000)
  t.true(fleet.every(({ members }) => members.knownCount() === 40))
  t.true(world.stats.largest > 1000 && world.stats.largest <= MAX_DATAGRAM_BYTES)
})

// Guards against a traffic storm, or failures of other members, when two processes with the same VM id keep refuting each other.
test('two processes with one VM id keep the rest of the fleet alive and within its byte budget', async (t) => {
  const { world, fleet, at } = await joinedFleet(20)
  world.add('node-5')
  const before = world.stats.bytes
  await world.advance(30_000)
  const rest = fleet.filter((member) => member !== at(5))
  t.true(allAlive(rest))
  const sentPerSecond = (world.stats.bytes - before) / 30 / 21
  t.log({ sentPerSecond: Math.round(sentPerSecond) })
  t.true(sentPerSecond <= 4000)
})

// Guards against forged or damaged datagrams, and against those of another fleet, being merged into the member table.
test('only datagrams signed with the fleet key are decoded', (t) => {
  const data = encodeMessage(FLEET_KEY, { kind: 'ping', to: 'b', from: 'a', incarnation: 1, seq: 2, updates: [] })
  t.is(decodeMessage(FLEET_KEY, data)?.kind, 'ping')
  t.is(decodeMessage('another-key-of-16-chars', data), undefined)
  const random = createSeededRandom(5)
  for (let i = 0; i < data.length; i++) {
    const damaged = Buffer.from(data)
    damaged[i] = (damaged[i] ?? 0) ^ (1 + random.int(255))
    t.is(decodeMessage(FLEET_KEY, damaged), undefined)
  }
  fc.assert(fc.property(fc.uint8Array({ maxLength: 80 }), (update) => {
    const msg = { kind: 'gossip' as const, from: 'a', incarnation: 1, seq: 0, updates: [update] }
    const decoded = decodeMessage(FLEET_KEY, encodeMessage(FLEET_KEY, msg))
    return decoded !== undefined && updatesOf(decoded).length <= 1
  }), { seed: 7 })
})
