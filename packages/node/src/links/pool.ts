import type { PeerAddress } from '@orioleslip/core'
import type { Result } from 'neverthrow'
import type { ConnectionHandlers, PeerConnection } from './connection.js'
import { dialPeer, type DialError, type LinkIdentity } from './dial.js'

/** Connections to other nodes, opened when first needed. */
export type PeerPool = {
  /** Returns the open connection to the address, or a promise of a new one. */
  get: (address: PeerAddress) => PeerConnection | Promise<Result<PeerConnection, DialError>>
  request: (address: PeerAddress, kind: string, body: unknown, timeoutMs: number) => Promise<unknown>
  close: () => void
}

/** Creates a pool; `onRequest` handles requests that peers send on dialed connections. */
export function createPeerPool (identity: LinkIdentity, onRequest: ConnectionHandlers['onRequest']): PeerPool {
  const open = new Map<string, PeerConnection>()
  const dialing = new Map<string, Promise<Result<PeerConnection, DialError>>>()
  // Includes connections to silent peers, which get no new calls.
  const connections = new Set<PeerConnection>()

  const dial = async (key: string, address: PeerAddress) => {
    let connection: PeerConnection | undefined
    const forget = () => { if (open.get(key) === connection) open.delete(key) }
    const res = await dialPeer(address, identity, {
      // Calls are sent only from the dialing to the listening side; one that arrives on a dialed connection is refused.
      onCall: (call) => call.refuse({ code: 'bad-request', outcome: 'not-run', detail: 'calls are accepted only on connections that the calling node opened' }, { pathLevel: 0, regionBytes: 0 }),
      onRequest,
      onSilent: forget,
      onClose: () => {
        forget()
        if (connection !== undefined) connections.delete(connection)
      }
    })
    dialing.delete(key)
    if (res.isOk()) {
      connection = res.value
      open.set(key, connection)
      connections.add(connection)
    }
    return res
  }
  const get: PeerPool['get'] = (address) => {
    const key = `${address.host}:${address.port}`
    const existing = open.get(key)
    if (existing !== undefined) return existing
    const pending = dialing.get(key) ?? dial(key, address)
    dialing.set(key, pending)
    return pending
  }
  return {
    get,
    request: async (address, kind, body, timeoutMs) => {
      const found = get(address)
      if (!(found instanceof Promise)) return found.request(kind, body, timeoutMs)
      const dialed = await found
      return dialed.isOk() ? dialed.value.request(kind, body, timeoutMs) : undefined
    },
    close: () => { for (const connection of [...connections]) connection.close('the node is stopping') }
  }
}
