import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { startProcess, type FleetProcess } from '../fleet/child.js'
import type { Fleet } from '../fleet/fleet.js'
import { freePort } from '../fleet/ports.js'
import { FLEET_KEY, HOST } from '../fleet/settings-files.js'

/** Members that one process runs, with index and gossip port; sent as a JSON argument. */
export type MemberBatch = { controls: unknown[], fleetKey: string, host: string, members: Array<{ index: number, gossipPort: number }> }

const MAIN = fileURLToPath(new URL('./members-main.js', import.meta.url))
const PROCESSES = 6

/** Starts members that only gossip, distributed over a few processes, so that a node can be measured with a large membership table. */
export async function startExtraMembers (fleet: Fleet, count: number): Promise<{ stop: () => Promise<void> }> {
  const batches: MemberBatch[] = Array.from({ length: Math.min(PROCESSES, count) }, () => ({
    controls: fleet.controls.map(({ vm: { region: _region, ...peer } }) => peer), fleetKey: FLEET_KEY, host: HOST, members: []
  }))
  for (let i = 0; i < count; i++) batches[i % batches.length]!.members.push({ index: i, gossipPort: await freePort() })
  const processes = batches.map((batch, i): FleetProcess => startProcess({
    name: `members-${i}`, script: MAIN, args: [JSON.stringify(batch)], logFile: join(fleet.folder, `members-${i}.log`)
  }))
  return { stop: async () => { await Promise.all(processes.map((process) => process.stop('SIGKILL'))) } }
}
