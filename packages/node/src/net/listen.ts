import type { Server } from 'node:net'
import type { PeerAddress } from '@orioleslip/core'

/** Opens the port of a TCP or HTTP server; rejects if it can't be opened. */
export function listen (server: Server, { host, port }: PeerAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port }, () => {
      server.removeListener('error', reject)
      resolve()
    })
  })
}
