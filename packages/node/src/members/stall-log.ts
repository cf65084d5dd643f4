import type { Log } from './self-record.js'

/** Delay of a timer from which it is logged, in ms. */
const STALL_MS = 250

/**
 * Creates the log of times in which this process did not get to its work; the returned function is called after each period with its delay.
 * The processor time tells whether the process was busy all the while or did not run.
 */
export function createStallLog (log: Pick<Log, 'info'>, cpuUsage = process.cpuUsage): (lateMs: number) => void {
  let last = cpuUsage()
  return (lateMs) => {
    const { user, system } = cpuUsage(last)
    last = cpuUsage()
    if (lateMs < STALL_MS) return
    log.info({ event: 'stalled', lateMs: Math.round(lateMs), cpuMs: Math.round((user + system) / 1000) }, 'this process came late to its work')
  }
}
