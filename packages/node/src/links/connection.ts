import type { Socket } from 'node:net'
import { createFrameDecoder, encodeFrame, type ConnectionMessage, type Frame } from './frames.js'
import { createIncomingCall, type IncomingCall } from './incoming-call.js'
import type { CallHead, StreamMessage } from './messages.js'
import { createOutgoingCall, type OutgoingCall } from './outgoing-call.js'

/** Period of the silence check, in ms. */
export const PING_INTERVAL_MS = 1000
/** Checks in a row without a byte from the peer after which a connection with open calls is closed. */
export const SILENT_CHECKS_LIMIT = 3

/** A message that belongs to a call stream or to the connection itself. */
type AnyMessage = StreamMessage | ConnectionMessage

/** What the owner of a connection does with what the peer starts. */
export type ConnectionHandlers = {
  onCall: (call: IncomingCall, fromVm: string) => void
  /** Answers a question of the peer. */
  onAsk: (kind: string, body: unknown, fromVm: string) => unknown
  onClose: (reason: string) => void
}

/** An authenticated connection between two nodes. */
export type PeerConnection = {
  peerVm: string
  openCall: (head: CallHead) => OutgoingCall
  /** Asks the peer something; undefined when no answer comes in time. */
  ask: (kind: string, body: unknown, timeoutMs: number) => Promise<unknown>
  openCalls: () => number
  close: (reason: string) => void
  receive: (frame: Frame) => void
}

/** Frames of one event loop turn up to this size are joined, since one buffer costs the system less than a list of them. */
const JOINED_BYTES = 16 * 1024

/** Writes the frames of one event loop turn with one system call. */
export function createFrameWriter (socket: Socket): (stream: number, msg: AnyMessage) => void {
  let pending: Uint8Array[] = []
  let pendingBytes = 0
  const flush = () => {
    const buffers = pending
    const isSmall = pendingBytes <= JOINED_BYTES
    pending = []
    pendingBytes = 0
    if (socket.destroyed) return
    if (isSmall) {
      socket.write(Buffer.concat(buffers))
      return
    }
    socket.cork()
    for (const buf of buffers) socket.write(buf)
    socket.uncork()
  }
  return (stream, msg) => {
    if (socket.destroyed) return
    if (pending.length === 0) setImmediate(flush)
    for (const buf of encodeFrame(stream, msg)) {
      pending.push(buf)
      pendingBytes += buf.length
    }
  }
}

/** Runs the frames of a connection whose handshake is complete. */
export function createPeerConnection (socket: Socket, peerVm: string, handlers: ConnectionHandlers): PeerConnection {
  const outgoing = new Map<number, OutgoingCall>()
  const incoming = new Map<number, IncomingCall>()
  const asks = new Map<number, (body: unknown) => void>()
  const write = createFrameWriter(socket)
  let nextStream = 1
  let nextAsk = 1
  let silentChecks = 0
  let closed = false

  const close = (reason: string) => {
    if (closed) return
    closed = true
    clearInterval(timer)
    socket.destroy()
    for (const call of [...outgoing.values()]) call.lost(reason)
    for (const call of [...incoming.values()]) call.lost(reason)
    for (const settle of [...asks.values()]) settle(undefined)
    handlers.onClose(reason)
  }
  // Counts checks instead of elapsed time: after a pause of this process itself the peer still gets its full time to answer.
  const timer = setInterval(() => {
    if (outgoing.size === 0 && incoming.size === 0) {
      silentChecks = 0
      return
    }
    if (silentChecks >= SILENT_CHECKS_LIMIT) return close(`the peer ${peerVm} sent nothing for ${SILENT_CHECKS_LIMIT} checks of ${PING_INTERVAL_MS} ms`)
    if (silentChecks > 0) write(0, { type: 'ping' })
    silentChecks++
  }, PING_INTERVAL_MS)
  timer.unref()

  const receiveCall = (stream: number, head: CallHead) => {
    const call = createIncomingCall(head, (msg) => write(stream, msg), () => incoming.delete(stream))
    incoming.set(stream, call)
    handlers.onCall(call, peerVm)
  }
  const answer = async (id: number, kind: string, body: unknown) => {
    const reply = await handlers.onAsk(kind, body, peerVm)
    write(0, { type: 'answer', id, body: reply })
  }
  const receiveConnectionMessage = (msg: AnyMessage) => {
    switch (msg.type) {
      case 'ask':
        answer(msg.id, msg.kind, msg.body).catch((err: unknown) => close(`answering "${msg.kind}" failed: ${String(err)}`))
        return
      case 'answer': return asks.get(msg.id)?.(msg.body)
      case 'ping': return write(0, { type: 'pong' })
      case 'pong': return
      default: close(`unexpected message "${msg.type}" on the connection`)
    }
  }

  socket.on('close', () => close(`the connection to ${peerVm} closed`))
  return {
    peerVm,
    openCall: (head) => {
      const stream = nextStream++
      const call = createOutgoingCall(head, (msg) => write(stream, msg), () => outgoing.delete(stream))
      if (closed) {
        call.lost(`the connection to ${peerVm} is closed`)
        return call
      }
      outgoing.set(stream, call)
      return call
    },
    ask: (kind, body, timeoutMs) => new Promise((resolve) => {
      if (closed) return resolve(undefined)
      const id = nextAsk++
      const settle = (reply: unknown) => {
        clearTimeout(timeout)
        asks.delete(id)
        resolve(reply)
      }
      const timeout = setTimeout(settle, timeoutMs, undefined)
      asks.set(id, settle)
      write(0, { type: 'ask', id, kind, body })
    }),
    openCalls: () => outgoing.size + incoming.size,
    close,
    receive: ({ stream, msg }) => {
      silentChecks = 0
      if (stream === 0) return receiveConnectionMessage(msg)
      if (msg.type === 'head') return receiveCall(stream, msg.head)
      // Both maps are looked up: the dialing side only has outgoing calls, the listening side only incoming ones.
      outgoing.get(stream)?.receive(msg as StreamMessage)
      incoming.get(stream)?.receive(msg as StreamMessage)
    }
  }
}

/** Decodes what the socket receives; a malformed frame closes the connection. */
export function readFrames (socket: Socket, onFrame: (frame: Frame) => void, onMalformed: (message: string) => void): void {
  const decode = createFrameDecoder(onFrame)
  socket.on('data', (chunk: Buffer) => {
    try {
      decode(chunk)
    } catch (err) {
      onMalformed(err instanceof Error ? err.message : String(err))
    }
  })
}
