import { connect, type Socket } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import type { PeerAddress } from '@orioleslip/core'
import { createFrameWriter, createPeerConnection, readFrames, type ConnectionHandlers, type PeerConnection } from './connection.js'
import { MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES, type Frame } from './frames.js'
import { createHandshake } from './handshake.js'
import { stampMs } from './link-delay.js'

/** Timeout of the connect and of the handshake, each, in ms; enough for several round trips between regions with 20 ms one-way latency. */
export const DIAL_TIMEOUT_MS = 1000

export type DialError = { kind: 'dialFailed', message: string }

export type LinkIdentity = { fleetKey: string, vmId: string }

function connectSocket ({ host, port }: PeerAddress): Promise<Result<Socket, DialError>> {
  return new Promise((resolve) => {
    const socket = connect({ host, port, noDelay: true })
    const fail = (message: string) => {
      socket.destroy()
      resolve(err({ kind: 'dialFailed', message: `no connection to ${host}:${port}: ${message}` }))
    }
    socket.setTimeout(DIAL_TIMEOUT_MS, () => fail('timed out'))
    socket.once('error', (cause) => fail(cause.message))
    socket.once('connect', () => {
      socket.setTimeout(0)
      socket.removeAllListeners()
      resolve(ok(socket))
    })
  })
}

/** Connects to the peer listener of another node and authenticates with the fleet key. */
export async function dialPeer (
  address: PeerAddress, identity: LinkIdentity, handlers: ConnectionHandlers
): Promise<Result<PeerConnection, DialError>> {
  const connected = await connectSocket(address)
  if (connected.isErr()) return err(connected.error)
  const socket = connected.value
  const handshake = createHandshake(identity.fleetKey, identity.vmId)
  const write = createFrameWriter(socket)

  return new Promise((resolve) => {
    let connection: PeerConnection | undefined
    const fail = (message: string) => {
      clearTimeout(timer)
      socket.destroy()
      if (connection !== undefined) connection.close(message)
      else resolve(err({ kind: 'dialFailed', message: `handshake with ${address.host}:${address.port} failed: ${message}` }))
    }
    const timer = setTimeout(() => fail('timed out'), DIAL_TIMEOUT_MS)
    const onFrame = (frame: Frame) => {
      if (connection !== undefined) return connection.receive(frame)
      if (frame.msg.type !== 'welcome') return fail(`unexpected message "${frame.msg.type}"`)
      const reply = handshake.verifyWelcome(frame.msg)
      if (reply.isErr()) return fail(reply.error.message)
      write(0, reply.value)
      clearTimeout(timer)
      connection = createPeerConnection(socket, frame.msg.vmId, handlers)
      resolve(ok(connection))
    }
    socket.on('error', (cause) => fail(cause.message))
    socket.on('close', () => fail('the peer closed the connection'))
    readFrames(socket, onFrame, fail, () => connection === undefined ? MAX_HANDSHAKE_FRAME_BYTES : MAX_FRAME_BYTES)
    write(0, { ...handshake.hello(), sentMs: stampMs() })
  })
}
