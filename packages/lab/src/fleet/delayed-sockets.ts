import { readFileSync } from 'node:fs'
import { Socket, type SocketConnectOpts } from 'node:net'
import { linkDelayMs, type LinkPlan, type Place } from './link-plan.js'

// Loaded into the processes of a fleet with --import. Delays both directions of the TCP connections that the process opens to VMs in other
// failure domains or regions, so the accepting side needs no change. Datagrams are not delayed.

type SocketInternals = Socket & { _write: Write, _final: (callback: Callback) => void, _destroy: Destroy }
type Callback = (err?: Error | null) => void
type Write = (chunk: unknown, encoding: BufferEncoding, callback: Callback) => void
type Destroy = (err: Error | null, callback: (err?: Error | null) => void) => void

const self = JSON.parse(process.env['ORIOLESLIP_LAB_PLACE'] ?? 'null') as Place & { planFile: string } | null

function delaySocket (socket: SocketInternals, ms: number): void {
  const write = socket._write.bind(socket)
  const final = socket._final.bind(socket)
  const push = socket.push.bind(socket)
  // The callback runs before the delay, so backpressure of the socket is not simulated; the peer link has its own flow control window.
  socket._writev = undefined
  socket._write = (chunk, encoding, callback) => {
    setTimeout(() => { if (!socket.destroyed) write(chunk, encoding, () => {}) }, ms)
    callback()
  }
  socket._final = (callback) => { setTimeout(() => final(callback), ms) }
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    setTimeout(() => { if (!socket.destroyed) push(chunk, encoding) }, ms)
    return true
  }
}

if (self !== null) {
  const plan = JSON.parse(readFileSync(self.planFile, 'utf8')) as LinkPlan
  const connect = Socket.prototype.connect
  const delayedConnect = function (this: Socket, ...args: unknown[]) {
    // net.connect passes its arguments as one normalized array.
    const first = Array.isArray(args[0]) ? args[0][0] as unknown : args[0]
    const port = typeof first === 'object' && first !== null ? Number((first as Partial<SocketConnectOpts & { port: number }>).port) : Number(first)
    const ms = linkDelayMs(plan, self, port)
    if (ms > 0) delaySocket(this as SocketInternals, ms)
    return Reflect.apply(connect, this, args) as Socket
  }
  Socket.prototype.connect = delayedConnect as typeof connect
}
