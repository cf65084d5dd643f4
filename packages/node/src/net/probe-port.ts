import { connect } from 'node:net'
import type { PeerAddress } from '@orioleslip/core'

/** Tells whether something listens at an address of this VM. */
export type ProbePort = (address: PeerAddress) => Promise<'listening' | 'refused' | 'unknown'>

/** Longest wait for the result of a connection to a port of this VM, in ms. */
const PROBE_TIMEOUT_MS = 300

/** Opens a connection and closes it at once. */
export const probePort: ProbePort = (address) => new Promise((resolve) => {
  const socket = connect(address.port, address.host)
  const finish = (result: 'listening' | 'refused' | 'unknown') => {
    socket.destroy()
    resolve(result)
  }
  socket.setTimeout(PROBE_TIMEOUT_MS, () => finish('unknown'))
  socket.once('connect', () => finish('listening'))
  socket.on('error', (err: NodeJS.ErrnoException) => finish(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown'))
})
