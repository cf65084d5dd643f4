import type { Clock, Random, Settings } from '@orioleslip/core'
import type { Logger } from 'pino'
import { createMembers, createSelfRecord, type Members } from './members/members.js'
import { openUdpSocket } from './members/socket.js'

/** Dependencies of `joinMembership`. */
export type MembershipDeps = { log: Logger, clock: Clock, random: Random }

/** Opens the gossip socket and creates the membership of this process, a node or a control VM; rejects when the port is in use. */
export async function joinMembership (settings: Settings, { log, clock, random }: MembershipDeps): Promise<Members> {
  const { vm, role, controls, auth: { fleetKey } } = settings
  const ports = role === 'node'
    ? { peerPort: settings.node?.peerPort ?? 0, callerPort: settings.node?.callerPort ?? 0, gossipPort: settings.node?.gossipPort ?? 0 }
    : { peerPort: settings.control?.apiPort ?? 0, callerPort: 0, gossipPort: settings.control?.gossipPort ?? 0 }
  const { id: vmId, address: host, region, failureDomain } = vm
  const self = createSelfRecord({ vmId, role, host, ...ports, region, failureDomain }, clock)
  const onError = (err: Error) => log.debug({ err: err.message }, 'sending a gossip datagram failed')
  const socket = await openUdpSocket({ host: vm.address, port: ports.gossipPort }, onError)
  const seeds = [...controls.filter((peer) => peer.vmId !== vm.id), ...settings.discovery?.seeds ?? []]
    .map((peer) => ({ host: peer.address, port: peer.gossipPort }))
    .filter((seed) => seed.host !== host || seed.port !== ports.gossipPort)
  return createMembers({ self, seeds, fleetKey, clock, random, log, socket })
}
