import type { ReplicationReply, ReplicationTransport } from '../replication/messages.js'
import type { ControlClient } from './client.js'

/**
 * Longest wait for the reply of another control VM, in ms. It exceeds the log's limit for a forwarded proposal (3.25 s); the log
 * applies its own, shorter limits to other messages.
 */
export const PEER_TIMEOUT_MS = 5000

/** Creates the transport that sends replication messages over the control API. */
export function createApiTransport (peers: ReadonlyMap<string, ControlClient>): ReplicationTransport {
  return {
    send: async (vmId, message) => {
      const client = peers.get(vmId)
      if (client === undefined) throw new Error(`no client for "${vmId}": it is not among the control VMs of the settings; add it`)
      return await client.api.replica.message.mutate({ group: message.group, message }) as ReplicationReply
    }
  }
}
