import type { PeerAddress } from '@orioleslip/core'
import type { Result } from 'neverthrow'
import type { ConnectionHandlers, PeerConnection } from './connection.js'
import { dialPeer, type DialError, type LinkIdentity } from './dial.js'

/** Connections to other nodes, opened when first needed. */
export type PeerPool = {
  /** An open connection to the address, or a promise of one. */
  get: (address: PeerAddress) => PeerConnection | Promise<Result<PeerConnection, DialError>>
  ask: (address: PeerAddress, kind: string, body: unknown, timeoutMs: number) => Promise<unknown>
  close: () => void
}

/** Creates a pool; questions from peers on dialed connections are answered by `onAsk`. */
export function createPeerPool (identity: LinkIdentity, onAsk: ConnectionHandlers['onAsk']): PeerPool {
  const open = new Map<string, PeerConnection>()
  const dialing = new Map<string, Promise<Result<PeerConnection, DialError>>>()

  const dial = async (key: string, address: PeerAddress) => {
    const res = await dialPeer(address, identity, {
      // Calls run from the dialing to the listening side only; a peer that sends one here gets no answer.
      onCall: (call) => call.refuse({ code: 'bad-request', outcome: 'not-run', detail: 'calls are accepted on dialed-in connections only' }, { pathLevel: 0, regionBytes: 0 }),
      onAsk,
      onClose: () => open.delete(key)
    })
    dialing.delete(key)
    if (res.isOk()) open.set(key, res.value)
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
    ask: async (address, kind, body, timeoutMs) => {
      const found = get(address)
      if (!(found instanceof Promise)) return found.ask(kind, body, timeoutMs)
      const dialed = await found
      return dialed.isOk() ? dialed.value.ask(kind, body, timeoutMs) : undefined
    },
    close: () => { for (const connection of [...open.values()]) connection.close('the node is stopping') }
  }
}
