import { once } from 'node:events'
import { connect } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

/** Work of the thread: callers that each connect, send one request and close their side. The flag is set and notified when all have. */
export type LeavingCallers = { host: string, port: number, count: number, flag: Int32Array }

/** Runs as a thread, so that it goes on while the main one stands still; it starts with the first message. */
async function main ({ host, port, count, flag }: LeavingCallers): Promise<void> {
  await once(parentPort!, 'message')
  await Promise.all(Array.from({ length: count }, async (_, i) => {
    const socket = connect({ host, port, noDelay: true })
    socket.on('error', () => {})
    await once(socket, 'connect')
    socket.write(`GET /shop/items/${i} HTTP/1.1\r\nhost: a\r\norioleslip-customer: c\r\n\r\n`)
    await new Promise<void>((resolve) => { socket.end(resolve) })
  }))
  Atomics.store(flag, 0, 1)
  Atomics.notify(flag, 0)
}

main(workerData as LeavingCallers).catch((err: unknown) => { throw err })
