import type { Server } from 'node:net'
import type { PeerAddress } from '@orioleslip/core'

/** Opens a TCP or HTTP server's port; rejects when it can't be opened. */
export function listen (server: Server, { host, port }: PeerAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port }, () => {
      server.removeListener('error', reject)
      resolve()
    })
  })
}
