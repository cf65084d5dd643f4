import type { Socket } from 'node:net'
import { createFrameDecoder, encodeFrame, type ConnectionMessage, type Frame } from './frames.js'
import { createIncomingCall, type IncomingCall } from './incoming-call.js'
import { createLinkDelay, stampMs, type LinkDelay } from './link-delay.js'
import type { CallHead, StreamMessage } from './messages.js'
import { createOutgoingCall, type OutgoingCall } from './outgoing-call.js'
import { createSilenceChecks } from './silence-checks.js'
import { processReads } from '../net/socket-reads.js'

/** Interval of the check for a silent peer, in ms. */
export const PING_INTERVAL_MS = 1000
/** Number of consecutive checks without a byte from the peer after which it counts as silent, if it has open calls. */
export const SILENT_CHECKS_LIMIT = 3

/**
 * Request to refuse the call of a stream unless it has been sent to the target. It is no message of the stream, since nodes of earlier
 * versions close a connection with a message that they don't know.
 */
const RECALL = 'recall'
/** Id of requests without a reply. */
const NO_REPLY = 0

const silenceChecks = createSilenceChecks(PING_INTERVAL_MS)

/** A message that belongs to a call stream or to the connection itself. */
type AnyMessage = StreamMessage | ConnectionMessage

/** Handlers for calls and requests from the peer, and for the end of the connection. */
export type ConnectionHandlers = {
  onCall: (call: IncomingCall, fromVm: string) => void
  /** Handles a request of the peer; returns the body of the reply, or a promise of it. */
  onRequest: (kind: string, body: unknown, fromVm: string) => unknown
  /** Called when the peer has been silent for too long; new calls need another connection from then on. */
  onSilent?: () => void
  onClose: (reason: string) => void
}

/** Properties of a call on a connection. */
export type CallOptions = {
  /** True keeps the call open while the peer is silent: it may be running there and must not be sent to another target. */
  outlivesSilence?: boolean
}

/** An authenticated connection between two nodes. */
export type PeerConnection = {
  peerVm: string
  openCall: (head: CallHead, options?: CallOptions) => OutgoingCall
  /** Sends a request to the peer and resolves with the body of its reply; undefined if no reply arrives within `timeoutMs`. */
  request: (kind: string, body: unknown, timeoutMs: number) => Promise<unknown>
  openCalls: () => number
  close: (reason: string) => void
  receive: (frame: Frame) => void
}

/** Frames of one event loop turn are concatenated up to this size, in bytes, since writing one buffer costs less than writing a list. */
const COALESCE_LIMIT_BYTES = 16 * 1024

/** Creates a writer that sends the frames of one event loop turn with one system call. */
export function createFrameWriter (socket: Socket): (stream: number, msg: AnyMessage) => void {
  let pending: Uint8Array[] = []
  let pendingBytes = 0
  const flush = () => {
    const buffers = pending
    const isSmall = pendingBytes <= COALESCE_LIMIT_BYTES
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

/** Creates a connection from a socket whose handshake is complete; `delay` measures how long the calls of the peer wait on their way. */
export function createPeerConnection (
  socket: Socket, peerVm: string, handlers: ConnectionHandlers, delay: LinkDelay = createLinkDelay()
): PeerConnection {
  const outgoing = new Map<number, OutgoingCall>()
  const incoming = new Map<number, IncomingCall>()
  const outlivesSilence = new Set<OutgoingCall>()
  const pendingRequests = new Map<number, (body: unknown) => void>()
  /** Those who wait for a pong, by the number of its ping; pongs come in the order of the pings. */
  const awaitedPongs = new Map<number, () => void>()
  let pings = 0
  let pongs = 0
  const write = createFrameWriter(socket)
  let nextStream = 1
  let nextRequest = 1
  let silentChecks = 0
  let silent = false
  let closed = false

  const close = (reason: string) => {
    if (closed) return
    closed = true
    silenceChecks.remove(checkSilence)
    socket.destroy()
    for (const call of [...outgoing.values()]) call.lost(reason)
    for (const call of [...incoming.values()]) call.lost(reason)
    for (const settle of [...pendingRequests.values()]) settle(undefined)
    for (const resolve of awaitedPongs.values()) resolve()
    handlers.onClose(reason)
  }
  // A silent peer may only be frozen or cut off for a while. Calls that it runs for this node go on unless they may be sent elsewhere, and
  // so do calls that it has sent here; each ends at its deadline at the latest.
  const becomeSilent = () => {
    silent = true
    handlers.onSilent?.()
    const reason = `the peer ${peerVm} sent nothing for ${SILENT_CHECKS_LIMIT} checks of ${PING_INTERVAL_MS} ms`
    for (const [stream, call] of [...outgoing]) {
      if (outlivesSilence.has(call)) continue
      write(stream, { type: 'cancel' })
      call.lost(reason)
    }
  }
  // Runs with the checks, not at the end of the last call, so that its last frames are sent first.
  const closeIfUnused = () => { if (outgoing.size + incoming.size === 0) close(`the peer ${peerVm} was silent`) }
  // Counts checks instead of measuring elapsed time: after a pause of this process the peer still has the full time to reply.
  const checkSilence = () => {
    if (silent) return closeIfUnused()
    if (silentChecks >= SILENT_CHECKS_LIMIT) return becomeSilent()
    if (silentChecks > 0) ping()
    silentChecks++
  }
  const callOpened = () => {
    if (outgoing.size + incoming.size > 1) return
    silentChecks = 0
    silenceChecks.add(checkSilence)
  }
  const callClosed = () => {
    if (outgoing.size + incoming.size === 0 && !silent) silenceChecks.remove(checkSilence)
  }

  const ping = () => {
    pings++
    write(0, { type: 'ping' })
  }
  const ponged = () => {
    pongs++
    awaitedPongs.get(pongs)?.()
    awaitedPongs.delete(pongs)
  }
  // The peer replies behind all that it has sent, and the calls of one turn share a ping.
  let readingAll: Promise<void> | undefined
  const readAll = (): Promise<void> => {
    if (closed) return Promise.resolve()
    if (readingAll !== undefined) return readingAll
    ping()
    setImmediate(() => { readingAll = undefined })
    readingAll = new Promise((resolve) => { awaitedPongs.set(pings, resolve) })
    return readingAll
  }

  const receiveCall = (stream: number, { head, sentMs }: Extract<StreamMessage, { type: 'head' }>) => {
    const onClosed = () => {
      incoming.delete(stream)
      callClosed()
    }
    const link = { waitedMs: sentMs === undefined ? 0 : delay.waitedMs(sentMs), readAll }
    const call = createIncomingCall(head, (msg) => write(stream, msg), onClosed, link)
    incoming.set(stream, call)
    callOpened()
    handlers.onCall(call, peerVm)
  }
  const recallCall = (body: unknown) => {
    if (typeof body === 'number') incoming.get(body)?.recall()
  }
  const replyTo = async (id: number, kind: string, body: unknown) => {
    if (kind === RECALL) return recallCall(body)
    const reply = await handlers.onRequest(kind, body, peerVm)
    write(0, { type: 'answer', id, body: reply })
  }
  const receiveConnectionMessage = (msg: AnyMessage) => {
    switch (msg.type) {
      case 'ask':
        replyTo(msg.id, msg.kind, msg.body).catch((err: unknown) => close(`the handler of the request "${msg.kind}" failed: ${String(err)}`))
        return
      case 'answer': return pendingRequests.get(msg.id)?.(msg.body)
      case 'ping': return write(0, { type: 'pong' })
      case 'pong': return ponged()
      default: close(`unexpected message "${msg.type}" on the connection`)
    }
  }

  socket.on('close', () => close(`the connection to ${peerVm} closed`))
  return {
    peerVm,
    openCall: (head, options) => {
      const stream = nextStream++
      const send = (msg: StreamMessage) => write(stream, msg.type === 'head' ? { ...msg, sentMs: stampMs() } : msg)
      const call = createOutgoingCall(head, send, () => {
        outgoing.delete(stream)
        outlivesSilence.delete(call)
        callClosed()
      }, () => write(0, { type: 'ask', id: NO_REPLY, kind: RECALL, body: stream }))
      if (closed) {
        call.lost(`the connection to ${peerVm} is closed`)
        return call
      }
      outgoing.set(stream, call)
      if (options?.outlivesSilence === true) outlivesSilence.add(call)
      callOpened()
      return call
    },
    request: (kind, body, timeoutMs) => new Promise((resolve) => {
      if (closed) return resolve(undefined)
      const id = nextRequest++
      const settle = (reply: unknown) => {
        clearTimeout(timeout)
        pendingRequests.delete(id)
        resolve(reply)
      }
      const timeout = setTimeout(settle, timeoutMs, undefined)
      pendingRequests.set(id, settle)
      write(0, { type: 'ask', id, kind, body })
    }),
    openCalls: () => outgoing.size + incoming.size,
    close,
    receive: ({ stream, msg }) => {
      silentChecks = 0
      if (stream === 0) return receiveConnectionMessage(msg)
      if (msg.type === 'head') return receiveCall(stream, msg)
      // Looks in both maps: the dialing side has only outgoing calls, the listening side only incoming ones.
      outgoing.get(stream)?.receive(msg as StreamMessage)
      incoming.get(stream)?.receive(msg as StreamMessage)
    }
  }
}

/** Decodes the frames that a socket receives; `onMalformed` is called with the error if a frame can't be decoded. */
export function readFrames (
  socket: Socket, onFrame: (frame: Frame) => void, onMalformed: (message: string) => void, maxFrameBytes?: () => number
): void {
  const decode = createFrameDecoder(onFrame, maxFrameBytes)
  socket.on('data', (chunk: Buffer) => {
    processReads.noteRead()
    try {
      decode(chunk)
    } catch (err) {
      onMalformed(err instanceof Error ? err.message : String(err))
    }
  })
}
