import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'

/** Lowest port that is used. All ports are below the range from which the kernel selects source ports. */
const FIRST_PORT = 12_000
const LAST_PORT = 31_000
let nextPort = FIRST_PORT + (process.pid * 97) % (LAST_PORT - FIRST_PORT)

/** Finds a loopback port that is free for TCP and UDP at the time of the call. */
export async function freePort (): Promise<number> {
  for (;;) {
    const port = nextPort
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1
    if (await isTcpFree(port) && await isUdpFree(port)) return port
  }
}

function isTcpFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

function isUdpFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4')
    socket.once('error', () => resolve(false))
    socket.bind(port, '127.0.0.1', () => socket.close(() => resolve(true)))
  })
}
