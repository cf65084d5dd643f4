import { createServer, type Socket } from 'node:net'
import type { PeerAddress } from '@orioleslip/core'
import { listen } from '../net/listen.js'
import { createFrameWriter, createPeerConnection, readFrames, type ConnectionHandlers, type PeerConnection } from './connection.js'
import { DIAL_TIMEOUT_MS, type LinkIdentity } from './dial.js'
import { MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES, type Frame } from './frames.js'
import { createHandshake } from './handshake.js'
import { createLinkDelay } from './link-delay.js'

export type PeerListener = {
  port: number
  /** Number of calls in progress on all accepted connections. */
  openCalls: () => number
  /** Stops accepting and closes the accepted connections. */
  close: () => Promise<void>
}

/** Called with the reason for which a connection attempt was rejected, for the log. */
export type OnRejected = (remote: string, message: string) => void

type ListenOptions = { address: PeerAddress, identity: LinkIdentity, handlers: Omit<ConnectionHandlers, 'onClose'>, onRejected: OnRejected }

/** Listens for peer connections; rejects if the port can't be opened. */
export async function listenForPeers ({ address, identity, handlers, onRejected }: ListenOptions): Promise<PeerListener> {
  const connections = new Set<PeerConnection>()
  const sockets = new Set<Socket>()

  const accept = (socket: Socket) => {
    const handshake = createHandshake(identity.fleetKey, identity.vmId)
    const write = createFrameWriter(socket)
    const delay = createLinkDelay()
    let hello: { vmId: string, nonce: Uint8Array } | undefined
    let connection: PeerConnection | undefined
    const fail = (message: string) => {
      clearTimeout(timer)
      socket.destroy()
      if (connection === undefined) onRejected(`${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`, message)
      else connection.close(message)
    }
    const timer = setTimeout(() => fail('handshake timed out'), DIAL_TIMEOUT_MS)
    const finishHandshake = (peerVm: string) => {
      clearTimeout(timer)
      const opened = createPeerConnection(socket, peerVm, { ...handlers, onClose: () => connections.delete(opened) }, delay)
      connection = opened
      connections.add(opened)
    }
    const onFrame = (frame: Frame) => {
      if (connection !== undefined) return connection.receive(frame)
      const { msg } = frame
      if (msg.type === 'hello' && hello === undefined) {
        hello = msg
        if (msg.sentMs !== undefined) delay.waitedMs(msg.sentMs)
        return write(0, handshake.welcome(msg))
      }
      if (msg.type !== 'proof' || hello === undefined) return fail(`unexpected message "${msg.type}" during the handshake`)
      const checked = handshake.checkProof(hello, msg.proof)
      if (checked.isErr()) return fail(checked.error.message)
      finishHandshake(hello.vmId)
    }
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', (cause) => fail(cause.message))
    socket.on('close', () => {
      clearTimeout(timer)
      sockets.delete(socket)
    })
    readFrames(socket, onFrame, fail, () => connection === undefined ? MAX_HANDSHAKE_FRAME_BYTES : MAX_FRAME_BYTES)
  }

  const server = createServer(accept)
  const port = await listen(server, address)
  return {
    port,
    openCalls: () => [...connections].reduce((sum, connection) => sum + connection.openCalls(), 0),
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      for (const connection of [...connections]) connection.close('the node is stopping')
      for (const socket of sockets) socket.destroy()
    })
  }
}
