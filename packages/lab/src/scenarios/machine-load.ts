import { readFileSync } from 'node:fs'
import { cpus } from 'node:os'

/** How busy the machine was while something was measured. */
export type MachineLoad = { cores: number, runnableMean: number, runnableMax: number, loadAverage1m: number }

const INTERVAL_MS = 500

function read (): { loadAverage1m: number, runnable: number } {
  const fields = readFileSync('/proc/loadavg', 'utf8').split(' ')
  return { loadAverage1m: Number(fields[0]), runnable: Number(fields[3]?.split('/')[0]) }
}

/** Samples the number of runnable threads until the returned function is called. */
export function watchMachine (): () => MachineLoad {
  const samples: number[] = []
  const timer = setInterval(() => samples.push(read().runnable), INTERVAL_MS)
  return () => {
    clearInterval(timer)
    const { loadAverage1m, runnable } = read()
    const all = samples.length === 0 ? [runnable] : samples
    return {
      cores: cpus().length,
      runnableMean: Math.round(all.reduce((sum, n) => sum + n, 0) / all.length * 10) / 10,
      runnableMax: Math.max(...all),
      loadAverage1m
    }
  }
}
