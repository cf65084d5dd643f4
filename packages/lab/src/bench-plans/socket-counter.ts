import { subscribe } from 'node:diagnostics_channel'
import { Socket as UdpSocket } from 'node:dgram'
import { renameSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Socket } from 'node:net'
import type { TrafficCounts } from './counts.js'

// Loaded into the daemons of a fleet with --import. Counts payload bytes of TCP connections and datagrams by port, and writes the
// totals to a file on SIGUSR2, so that no timer or server runs between two readings. Headers of IP, TCP and UDP, and pure acks, are not
// counted.

const folder = process.env['ORIOLESLIP_COUNTER_FOLDER']
const totals: Record<string, TrafficCounts> = {}
const openSockets = new Map<Socket, { key: string, writes: number }>()

function addCounts (key: string, counts: TrafficCounts): void {
  const sum = totals[key] ??= { connections: 0, bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 }
  sum.connections += counts.connections
  sum.bytesIn += counts.bytesIn
  sum.bytesOut += counts.bytesOut
  sum.messagesIn += counts.messagesIn
  sum.messagesOut += counts.messagesOut
}

function countsOf (socket: Socket, writes: number, connections: number): TrafficCounts {
  return { connections, bytesIn: socket.bytesRead, bytesOut: socket.bytesWritten, messagesIn: 0, messagesOut: writes }
}

function trackSocket (socket: Socket, key: string): void {
  const entry = { key, writes: 0 }
  openSockets.set(socket, entry)
  socket.once('close', () => {
    openSockets.delete(socket)
    addCounts(key, countsOf(socket, entry.writes, 0))
  })
}

type Write = (this: Socket, ...args: unknown[]) => unknown
type Writer = Record<'_write' | '_writev', Write>

function countWrites (method: keyof Writer): void {
  const writer = Socket.prototype as unknown as Writer
  const write = writer[method]
  writer[method] = function (...args) {
    const entry = openSockets.get(this)
    if (entry !== undefined) entry.writes++
    return Reflect.apply(write, this, args)
  }
}

function countDatagrams (): void {
  const send = UdpSocket.prototype.send as (this: UdpSocket, ...args: unknown[]) => void
  const counted = function (this: UdpSocket, ...args: unknown[]) {
    addCounts('udp', { connections: 0, bytesIn: 0, bytesOut: (args[0] as Uint8Array).length, messagesIn: 0, messagesOut: 1 })
    Reflect.apply(send, this, args)
  }
  UdpSocket.prototype.send = counted as typeof UdpSocket.prototype.send
  const emit = UdpSocket.prototype.emit as (this: UdpSocket, ...args: unknown[]) => boolean
  const countedEmit = function (this: UdpSocket, ...args: unknown[]) {
    if (args[0] === 'message') {
      addCounts('udp', { connections: 0, bytesIn: (args[1] as Uint8Array).length, bytesOut: 0, messagesIn: 1, messagesOut: 0 })
    }
    return Reflect.apply(emit, this, args)
  }
  UdpSocket.prototype.emit = countedEmit as typeof UdpSocket.prototype.emit
}

function writeTotals (outputFolder: string): void {
  const saved = structuredClone(totals)
  for (const [socket, { key, writes }] of openSockets) addCounts(key, countsOf(socket, writes, 1))
  const file = join(outputFolder, `${process.pid}.json`)
  writeFileSync(`${file}.tmp`, JSON.stringify(totals))
  renameSync(`${file}.tmp`, file)
  for (const key of Object.keys(totals)) delete totals[key]
  Object.assign(totals, saved)
}

// The operators' command line tool inherits the same environment; its traffic is not counted.
if (folder !== undefined && process.argv[1]?.includes('daemon') === true) {
  subscribe('net.server.socket', (message) => {
    const { socket } = message as { socket: Socket }
    trackSocket(socket, `in:${socket.localPort}`)
  })
  subscribe('net.client.socket', (message) => {
    const { socket } = message as { socket: Socket }
    socket.once('connect', () => trackSocket(socket, `out:${socket.remotePort}`))
  })
  countWrites('_write')
  countWrites('_writev')
  countDatagrams()
  process.on('SIGUSR2', () => writeTotals(folder))
}
