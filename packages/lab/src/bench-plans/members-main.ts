import { settingsSchema, systemClock, systemRandom } from '@orioleslip/core'
import { joinMembership } from '@orioleslip/node/membership'
import { pino } from 'pino'
import type { MemberBatch } from './extra-members.js'

// Members share the event loop of this process. Joining them one by one keeps it from being blocked for longer than the probe timeout.
const JOIN_INTERVAL_MS = 20

const batch = JSON.parse(process.argv[2] ?? '') as MemberBatch
const log = pino({ level: 'error' })
for (const { index, gossipPort } of batch.members) {
  const settings = settingsSchema.parse({
    role: 'node',
    vm: { id: `member-${index}`, address: batch.host, region: index % 5 < 3 ? 'r1' : 'r2', failureDomain: `domain-${index % 5}` },
    // The TCP ports are placeholders: the members have no target, so nothing connects to them.
    node: { callerPort: 1, peerPort: 2, gossipPort },
    controls: batch.controls,
    auth: { fleetKey: batch.fleetKey }
  })
  const members = await joinMembership(settings, { log, clock: systemClock, random: systemRandom })
  members.start()
  await systemClock.sleep(JOIN_INTERVAL_MS)
}
