import type { Clock, PeerAddress } from '@orioleslip/core'
import { probePort, type ProbePort } from '../net/probe-port.js'
import type { TargetConnections } from './target-connections.js'

/** Dependencies of `createTargetLiveness`. */
export type TargetLivenessOptions = {
  connections: Pick<TargetConnections, 'open'>
  address: PeerAddress
  clock: Clock
  /** Tells whether something listens at the address; by default by a connection. */
  probe?: ProbePort
}

/** Time after which all connections of a process that has ended have closed, in ms. */
const CLOSING_MS = 20

/**
 * Creates the check of whether the target process still runs, for use right after the end of one of its connections. The kernel closes all
 * connections of a process that ends, so that one which stays open answers it without a connection of its own.
 */
export function createTargetLiveness ({ connections, address, clock, probe = probePort }: TargetLivenessOptions): () => Promise<boolean> {
  return async () => {
    const others = connections.open()
    await clock.sleep(CLOSING_MS)
    if (others.some(({ end }) => end === 'open')) return true
    return await probe(address) !== 'refused'
  }
}
