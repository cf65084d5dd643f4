import { settingsSchema, systemClock, systemRandom } from '@orioleslip/core'
import { joinMembership } from '@orioleslip/node/membership'
import { pino } from 'pino'
import type { MemberBatch } from './extra-members.js'

// Members share the event loop of this process; joining one by one keeps it from standing still for as long as a probe waits.
const JOIN_INTERVAL_MS = 20

const batch = JSON.parse(process.argv[2] ?? '') as MemberBatch
const log = pino({ level: 'error' })
for (const { index, gossipPort } of batch.members) {
  const settings = settingsSchema.parse({
    role: 'node',
    vm: { id: `member-${index}`, address: batch.host, region: index % 5 < 3 ? 'r1' : 'r2', failureDomain: `domain-${index % 5}` },
    // Nobody connects to the TCP ports: the members have no target.
    node: { callerPort: 1, peerPort: 2, gossipPort },
    controls: batch.controls,
    auth: { fleetKey: batch.fleetKey }
  })
  const members = await joinMembership(settings, { log, clock: systemClock, random: systemRandom })
  members.start()
  await systemClock.sleep(JOIN_INTERVAL_MS)
}
