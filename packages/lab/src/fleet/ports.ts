import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'

/** Lowest port that is handed out; below the range from which the kernel picks source ports. */
const FIRST_PORT = 12_000
const LAST_PORT = 31_000
let next = FIRST_PORT + (process.pid * 97) % (LAST_PORT - FIRST_PORT)

/** A loopback port that is free for TCP and UDP at the moment of the call. */
export async function freePort (): Promise<number> {
  for (;;) {
    const port = next
    next = next >= LAST_PORT ? FIRST_PORT : next + 1
    if (await tcpFree(port) && await udpFree(port)) return port
  }
}

function tcpFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

function udpFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4')
    socket.once('error', () => resolve(false))
    socket.bind(port, '127.0.0.1', () => socket.close(() => resolve(true)))
  })
}
