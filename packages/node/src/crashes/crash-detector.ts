import type { Clock } from '@orioleslip/core'
import { probePort, type ProbePort } from '../net/probe-port.js'
import { processIdOf, type Announcement } from '../target/local-target.js'

/** A call that the target is running. */
export type RunningCall = {
  fingerprint: number
  /** The call has ended in another way than by the loss of its connection. */
  ended: () => void
  /** The connection was lost before the response was complete; resolves with true if the target process has ended by itself. */
  lost: () => Promise<boolean>
}

/** Finds out whether the local target process has ended, from lost connections. */
export type CrashDetector = {
  started: (fingerprint: number, process: Announcement) => RunningCall
  /** True if a process listens at the port of the target. */
  isListening: (process: Announcement) => Promise<boolean>
}

/** Dependencies of `createCrashDetector`. */
export type CrashDetectorOptions = {
  clock: Clock
  /** Tells whether something listens at the address; by default by a connection. */
  probe?: ProbePort
  host: string
  /** Called once for each process that has ended, with the calls that it was running; `lost` resolves after it. */
  onCrash: (process: Announcement, fingerprints: number[]) => Promise<void>
}

/** Times after which the connections of a process that has ended should all have closed, in ms; the second is for a busy event loop. */
const CLOSING_MS = [20, 30]

type Run = { fingerprint: number, processId: number, isLost: boolean }

/** Creates the detector. A lost connection among others that go on is no crash, nor is a port that still accepts connections. */
export function createCrashDetector ({ clock, probe = probePort, host, onCrash }: CrashDetectorOptions): CrashDetector {
  const running = new Set<Run>()
  const checks = new Map<number, Promise<boolean>>()

  const isListening = async ({ port }: Announcement) => await probe({ host, port }) !== 'refused'

  const check = async (process: Announcement, processId: number): Promise<boolean> => {
    const runs = [...running].filter((run) => run.processId === processId)
    const goesOn = () => runs.some((run) => running.has(run) && !run.isLost)
    for (const waitMs of CLOSING_MS) {
      await clock.sleep(waitMs)
      if (!goesOn()) break
    }
    if (goesOn() || await isListening(process)) {
      checks.delete(processId)
      return false
    }
    await onCrash(process, runs.filter((run) => running.has(run)).map(({ fingerprint }) => fingerprint))
    return true
  }

  return {
    isListening,
    started: (fingerprint, process) => {
      const run: Run = { fingerprint, processId: processIdOf(process), isLost: false }
      running.add(run)
      return {
        fingerprint,
        ended: () => { running.delete(run) },
        lost: async () => {
          run.isLost = true
          const pending = checks.get(run.processId) ?? check(process, run.processId)
          checks.set(run.processId, pending)
          const hasCrashed = await pending
          running.delete(run)
          if (![...running].some((other) => other.processId === run.processId)) checks.delete(run.processId)
          return hasCrashed
        }
      }
    }
  }
}
