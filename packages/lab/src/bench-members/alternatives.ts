import { createSelfRecord, packUpdate } from '@orioleslip/node'
import { systemClock } from '@orioleslip/core'

const CONTROLS = 3
/** Changes of members and targets per day: 183 restarts with 6 changes each. */
const CHANGES_PER_DAY = 183 * 6
/** Longest interval between reports at which a leaving target is known within 3 s despite one lost datagram. */
const REPORT_INTERVAL_S = 1

/** Estimated cost of another membership scheme in bytes/s, sent and received together. */
export type AlternativeCost = { name: string, perNode: number, perControl: number }

/** Encoded size in bytes of one gossip update with its full record. */
export function fullUpdateBytes (): number {
  const record = createSelfRecord({
    vmId: 'vm-0-000',
    role: 'node',
    host: '127.0.0.1',
    peerPort: 42_000,
    callerPort: 42_000,
    gossipPort: 42_000,
    region: 'region-0',
    failureDomain: 'domain-0'
  }, systemClock)
  const target = { service: 'service-0', capacity: 55, state: 'ready' } as const
  const { vmId, incarnation, version } = record
  return packUpdate({ vmId, incarnation, version, liveness: 'alive', ageMs: 0, hash: 0, record: { ...record, target } }).length
}

/** Estimates the traffic of simpler schemes; `messageBytes` is the measured mean size of an idle datagram, headers included. */
export function estimateAlternatives (size: number, messageBytes: number): AlternativeCost[] {
  const update = fullUpdateBytes()
  const changeBytes = CHANGES_PER_DAY / 86_400 * update
  // Each node reports to one control VM and receives the changes since its last report.
  const exchange = (2 * messageBytes + update) / REPORT_INTERVAL_S + changeBytes
  const betweenControls = (CONTROLS - 1) * (2 * messageBytes / REPORT_INTERVAL_S + changeBytes)
  // Each node pings each other node once per second and receives an ack.
  const pairwise = (size - 1) * 4 * messageBytes
  return [
    { name: 'report to control VMs', perNode: exchange, perControl: size / CONTROLS * exchange + betweenControls },
    { name: 'report to control VMs, one of three left', perNode: exchange, perControl: size * exchange },
    { name: 'all members ping all', perNode: pairwise, perControl: pairwise }
  ]
}
