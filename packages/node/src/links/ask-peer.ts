import { withTimeout, type Clock, type MemberRecord } from '@orioleslip/core'
import type { PeerPool } from './pool.js'

/** Sends a request to another node; resolves with its reply, or with undefined if there is none in time. */
export type AskPeer = (peer: Pick<MemberRecord, 'host' | 'peerPort'>, kind: string, body: unknown) => Promise<unknown>

/** Creates requests that take `timeoutMs` at most, the time in which a connection is opened included. */
export function createAskPeer (clock: Clock, request: PeerPool['request'], timeoutMs: number): AskPeer {
  return async ({ host, peerPort }, kind, body) => {
    const reply = request({ host, port: peerPort }, kind, body, timeoutMs).then((body) => ({ body }), () => ({ body: undefined }))
    return (await withTimeout(clock, timeoutMs, reply))?.body
  }
}
