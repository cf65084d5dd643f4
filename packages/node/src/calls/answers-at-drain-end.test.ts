import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { createCanceller, systemClock } from '@orioleslip/core'
import test from 'ava'
import { createUnlimitedGate } from '../admission/pass-through.js'
import { startNodePair } from '../testing/node-pair.js'

const OPEN = 400
/** Time between the end of the drain and the closing of the connections, in ms, see planned-stop.ts. */
const CLOSE_AFTER_DRAIN_MS = 200

// Guards against answers at the end of a stop that are written and lost, since their connections are closed with unread input or too soon.
test('hundreds of open requests, also with bytes behind them, get whole answers at the end of a drain', async (t) => {
  const held: ServerResponse[] = []
  const server = createServer((_req, res) => { held.push(res) })
  server.listen(0, '127.0.0.1', 1024)
  await once(server, 'listening')
  const drain = createCanceller()
  const { port } = server.address() as AddressInfo
  const pair = await startNodePair({ targetPort: port, gate: createUnlimitedGate(), drainEnded: drain.signal })
  const text = (id: string, length: number) =>
    `PUT /shop/sheets/${id} HTTP/1.1\r\nHost: h\r\nOrioleslip-Customer: c\r\nOrioleslip-Timeout-Ms: 60000\r\nContent-Length: ${length}\r\n\r\n`
  const ends = Array.from({ length: OPEN }, (_, i) => new Promise<string>((resolve) => {
    const socket = connect(pair.callerPort, '127.0.0.1')
    let read = ''
    socket.on('data', (chunk: Buffer) => { read += chunk.toString() })
    socket.on('error', () => {})
    socket.on('close', () => resolve(`${i % 3} ${[...read.matchAll(/HTTP\/1.1 (\d+)/g)].map((match) => match[1]).join('+')} ${read.includes('"requestId"')}`))
    socket.write(`${text(`a${i}`, 1)}x`)
    if (i % 3 === 1) socket.write(text(`b${i}`, 0))
    if (i % 3 === 2) socket.write(`${text(`b${i}`, 1_000_000)}${'y'.repeat(500_000)}`)
  }))
  for (let i = 0; i < 100 && held.length < OPEN; i++) await systemClock.sleep(20)
  t.log(`${held.length} at the target`)
  const startMs = performance.now()
  drain.abort()
  await systemClock.sleep(CLOSE_AFTER_DRAIN_MS)
  const lateMs = performance.now() - startMs
  await pair.stop()
  const counts: Record<string, number> = {}
  for (const end of await Promise.all(ends)) counts[end] = (counts[end] ?? 0) + 1
  t.log(counts, lateMs)
  server.closeAllConnections()
  server.close()
  t.deepEqual(Object.keys(counts).filter((key) => !/^\d 502/.test(key) || !key.endsWith('true')), [])
})
