import type { ReplicationReply, ReplicationTransport } from '../replication/messages.js'
import type { ControlClient } from './client.js'

/** Carries replication messages over the control API. */
export function createApiTransport (peers: ReadonlyMap<string, ControlClient>): ReplicationTransport {
  return {
    send: async (vmId, message) => {
      const client = peers.get(vmId)
      if (client === undefined) throw new Error(`"${vmId}" is not among the control VMs of the settings; add it`)
      return await client.api.replica.message.mutate({ group: message.group, message }) as ReplicationReply
    }
  }
}
