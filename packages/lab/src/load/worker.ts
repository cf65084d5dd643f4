import { parentPort, workerData } from 'node:worker_threads'
import { Agent } from 'undici'
import { createClient, type ClientOptions, type RequestResult } from './client.js'
import type { Arrival } from './schedule.js'

/** Input of a worker thread of the load generator. */
export type WorkerInput = Omit<ClientOptions, 'agent' | 'nowMs'> & {
  arrivals: Arrival[]
  /** Start of the run in ms since the Unix epoch. */
  startWallMs: number
}

const input = workerData as WorkerInput
const nowMs = () => performance.timeOrigin + performance.now() - input.startWallMs
const agent = new Agent({ pipelining: 1, keepAliveTimeout: 30_000, connect: { timeout: 3000 }, headersTimeout: 0, bodyTimeout: 0 })
const client = createClient({ ...input, agent, nowMs })

async function sendAll (): Promise<RequestResult[]> {
  const running: Array<Promise<RequestResult>> = []
  for (const arrival of input.arrivals) {
    const waitMs = arrival.atMs - nowMs()
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
    running.push(client.run(arrival))
  }
  return Promise.all(running)
}

const results = await sendAll()
await agent.destroy()
parentPort?.postMessage(results)
