import { createSeededRandom, systemClock } from '@orioleslip/core'
import { createMembers, createSelfRecord, openUdpSocket } from '@orioleslip/node'
import type { Members } from '@orioleslip/node'

const HOST = '127.0.0.1'
const FLEET_KEY = 'key-of-the-benchmark-fleet'
const SEED_COUNT = 3
const SERVICES = 21
const DOMAINS = 5

const ignore = () => {}
const quietLog = { debug: ignore, info: ignore, warn: ignore }

/** Starts members in this process, each on its own port; the first three are control processes and serve as the seeds. */
export async function startFleet (size: number, basePort: number, seed: number): Promise<Members[]> {
  const seeds = Array.from({ length: Math.min(SEED_COUNT, size) }, (_, i) => ({ host: HOST, port: basePort + i }))
  const fleet: Members[] = []
  for (let i = 0; i < size; i++) {
    const port = basePort + i
    const role = i < SEED_COUNT ? 'control' : 'node'
    const self = createSelfRecord({
      vmId: `vm-${i % DOMAINS}-${String(i).padStart(3, '0')}`,
      role,
      host: HOST,
      peerPort: port,
      callerPort: role === 'node' ? port : 0,
      gossipPort: port,
      region: `region-${i % 2}`,
      failureDomain: `domain-${i % DOMAINS}`
    }, systemClock)
    const socket = await openUdpSocket({ host: HOST, port }, ignore)
    const members = createMembers({
      self, seeds, fleetKey: FLEET_KEY, clock: systemClock, random: createSeededRandom(seed * 1000 + i), log: quietLog, socket
    })
    members.start()
    if (role === 'node') members.announceTarget({ service: serviceOf(i), capacity: 55, state: 'ready' })
    fleet.push(members)
  }
  return fleet
}

/** Service of the target beside node `i`. */
export function serviceOf (i: number): string {
  return `service-${i % SERVICES}`
}
