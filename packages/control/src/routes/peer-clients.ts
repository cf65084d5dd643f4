import type { Clock } from '@orioleslip/core'
import { createRoutesClient, type RoutesClient } from '../api/client.js'
import { PEER_TIMEOUT_MS } from '../api/transport.js'
import type { ReplicationReply, ReplicationTransport } from '../replication/messages.js'

export type PeerClients = { transport: ReplicationTransport, close: () => Promise<void> }

/** Creates the transport between control VMs whose ids are the authorities of their APIs, so that every id is also an address. */
export function createPeerClients ({ fleetKey, clock }: { fleetKey: string, clock: Clock }): PeerClients {
  const clients = new Map<string, RoutesClient>()
  const clientOf = (authority: string): RoutesClient => {
    const known = clients.get(authority)
    if (known !== undefined) return known
    const client = createRoutesClient({ authority, principal: { kind: 'fleet' }, key: fleetKey, clock, timeoutMs: PEER_TIMEOUT_MS })
    clients.set(authority, client)
    return client
  }
  return {
    transport: { send: async (authority, message) => await clientOf(authority).api.message.mutate(message) as ReplicationReply },
    close: async () => { await Promise.all([...clients.values()].map((client) => client.close())) }
  }
}
