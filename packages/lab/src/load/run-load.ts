import { Worker } from 'node:worker_threads'
import type { RequestResult } from './client.js'
import type { Arrival } from './schedule.js'
import type { WorkerInput } from './worker.js'

/** Threads that send; one thread manages about 2000 tries per second. */
const THREADS = 3
/** Time for the threads to start before the first arrival is due, in ms. */
const LEAD_MS = 500

export type LoadRun = Omit<WorkerInput, 'startWallMs'> & {
  /** Called when the first arrival is about to be due. */
  onStart?: () => void
}

/** Sends all arrivals at their times, whatever the answers do, and gives the results in the order of the arrivals. */
export async function runLoad ({ onStart, ...run }: LoadRun): Promise<RequestResult[]> {
  const startWallMs = Date.now() + LEAD_MS
  const starting = setTimeout(() => onStart?.(), LEAD_MS)
  try {
    const parts = await Promise.all(Array.from({ length: THREADS }, (_, i) =>
      runThread({ ...run, startWallMs, arrivals: run.arrivals.filter((arrival: Arrival) => arrival.id % THREADS === i) })))
    return parts.flat().sort((a, b) => a.id - b.id)
  } finally {
    clearTimeout(starting)
  }
}

function runThread (workerData: WorkerInput): Promise<RequestResult[]> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./worker.js', import.meta.url), { workerData })
    worker.once('message', resolve)
    worker.once('error', reject)
    worker.once('exit', (code) => reject(new Error(`a load thread ended with code ${code} before it was done`)))
  })
}
