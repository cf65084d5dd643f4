import test from 'ava'
import { createSimWorld } from './sim-world.js'
import type { SimMember, SimWorld } from './sim-world.js'
import { GOSSIP_INTERVAL_MS, MAX_DATAGRAM_BYTES } from './timing.js'

const FLEET = 770
const IDLE_S = 4

async function settledFleet (size: number, seed: number): Promise<{ world: SimWorld, fleet: SimMember[] }> {
  const world = createSimWorld({ seed, delayMs: 20, lossRate: 0.01, seeds: ['10.0.0.1'] })
  const fleet = Array.from({ length: size }, (_, i) => world.add(`node-${i}`))
  for (const { members } of fleet) members.announceTarget({ service: `service-${size % 21}`, capacity: 55, state: 'ready' })
  const table = fleet.flatMap(({ members }) => members.exportTable())
  for (const { members } of fleet) members.mergeTable(table)
  // The initial announcements of all members fill every queue; they are sent before the measurement starts.
  await world.advance(5_000)
  return { world, fleet }
}

// Guards against calls to a target that is leaving, when its update needs more than the 3 s of the design to reach every member.
for (const seed of [1, 2, 3]) {
  test.serial(`a leaving target is known to all ${FLEET} members within 3 s, seed ${seed}`, async (t) => {
    const { world, fleet } = await settledFleet(FLEET, seed)
    const before = { ...world.stats }
    await world.advance(IDLE_S * 1000)
    const idle = (world.stats.bytes - before.bytes) / IDLE_S / FLEET
    const vmId = 'node-7'
    fleet[7]?.members.announceTarget({ service: 'claims', capacity: 55, state: 'leaving' })
    const knowing = () => fleet.filter(({ members }) =>
      members.ofService('claims').some((m) => m.record.vmId === vmId && m.record.target?.state === 'leaving')).length
    const perRound: number[] = []
    while (knowing() < FLEET && perRound.length < 15) {
      await world.advance(GOSSIP_INTERVAL_MS)
      perRound.push(knowing())
    }
    t.log({ rounds: perRound.length, ms: perRound.length * GOSSIP_INTERVAL_MS, perRound, idleBytesPerSecondSent: Math.round(idle) })
    t.is(perRound.at(-1), FLEET)
    t.true(perRound.length * GOSSIP_INTERVAL_MS <= 3000)
    t.true(2 * idle <= 8000)
    t.true(world.stats.largest <= MAX_DATAGRAM_BYTES)
  })
}
