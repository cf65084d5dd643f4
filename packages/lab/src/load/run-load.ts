import { Worker } from 'node:worker_threads'
import type { RequestResult } from './client.js'
import type { Arrival } from './schedule.js'
import type { WorkerInput } from './worker.js'

/** Number of sending threads; one thread can send about 2000 tries per second. */
const THREADS = 3
/** Time that the threads have for starting before the run begins, in ms. */
const START_DELAY_MS = 500

/** Parameters of a load run. */
export type LoadRun = Omit<WorkerInput, 'startWallMs'> & {
  /** Called at the start of the run, to which the times of the arrivals are relative. */
  onStart?: () => void
}

/** Sends every request at its scheduled time, independent of earlier responses, and returns the results in the order of the arrivals. */
export async function runLoad ({ onStart, ...run }: LoadRun): Promise<RequestResult[]> {
  const startWallMs = Date.now() + START_DELAY_MS
  const startTimer = setTimeout(() => onStart?.(), START_DELAY_MS)
  try {
    const threadResults = await Promise.all(Array.from({ length: THREADS }, (_, i) =>
      runThread({ ...run, startWallMs, arrivals: run.arrivals.filter((arrival: Arrival) => arrival.id % THREADS === i) })))
    return threadResults.flat().sort((a, b) => a.id - b.id)
  } finally {
    clearTimeout(startTimer)
  }
}

function runThread (workerData: WorkerInput): Promise<RequestResult[]> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./worker.js', import.meta.url), { workerData })
    worker.once('message', resolve)
    worker.once('error', reject)
    worker.once('exit', (code) => reject(new Error(`a load thread exited with code ${code} before it returned its results`)))
  })
}
