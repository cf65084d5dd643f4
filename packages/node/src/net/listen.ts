import type { AddressInfo, Server } from 'node:net'
import type { PeerAddress } from '@orioleslip/core'

/** Opens the port of a TCP or HTTP server, a free one for port 0, and returns it; rejects if it can't be opened. */
export function listen (server: Server, { host, port }: PeerAddress): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port }, () => {
      server.removeListener('error', reject)
      resolve((server.address() as AddressInfo).port)
    })
  })
}
