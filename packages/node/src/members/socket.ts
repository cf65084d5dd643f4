import { createSocket } from 'node:dgram'
import type { SocketOptions } from 'node:dgram'
import { isIPv6 } from 'node:net'

/** UDP address. */
export type Address = { host: string, port: number }

/** The part of a UDP socket that membership uses; tests pass a simulated one. */
export type DatagramSocket = {
  send: (data: Uint8Array, to: Address) => void
  onMessage: (listener: (data: Uint8Array, from: Address) => void) => void
  close: () => void
}

/** A bound UDP socket; with port 0 the operating system chooses the port. */
export type UdpSocket = DatagramSocket & { address: () => Address }

/** Binds a UDP socket; rejects when the address is in use. Send errors are passed to `onError` and otherwise treated as lost datagrams. */
export async function openUdpSocket (bind: Address, onError: (err: Error) => void): Promise<UdpSocket> {
  const options: SocketOptions = {
    type: isIPv6(bind.host) ? 'udp6' : 'udp4',
    // Addresses are numeric; the default lookup would cost a turn of the event loop per datagram.
    lookup: (host, _options, callback) => callback(null, host, isIPv6(host) ? 6 : 4)
  }
  const socket = createSocket(options)
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(bind.port, bind.host, () => {
      socket.off('error', reject)
      resolve()
    })
  })
  socket.on('error', onError)
  const { address: host, port } = socket.address()
  let closed = false
  return {
    address: () => ({ host, port }),
    send: (data, to) => {
      if (closed) return
      socket.send(data, to.port, to.host, (err) => { if (err !== null && !closed) onError(err) })
    },
    onMessage: (listener) => { socket.on('message', (data, from) => listener(data, { host: from.address, port: from.port })) },
    close: () => {
      closed = true
      socket.close()
    }
  }
}
