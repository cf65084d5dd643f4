import { readFileSync } from 'node:fs'
import { cpus } from 'node:os'

/** Load of the machine during a measurement. */
export type MachineLoad = { cores: number, runnableMean: number, runnableMax: number, loadAverage1m: number }

const INTERVAL_MS = 500

function readLoadAverage (): { loadAverage1m: number, runnable: number } {
  const fields = readFileSync('/proc/loadavg', 'utf8').split(' ')
  return { loadAverage1m: Number(fields[0]), runnable: Number(fields[3]?.split('/')[0]) }
}

/** Samples the number of runnable threads until the returned function is called, which returns the load. */
export function watchMachine (): () => MachineLoad {
  const samples: number[] = []
  const timer = setInterval(() => samples.push(readLoadAverage().runnable), INTERVAL_MS)
  return () => {
    clearInterval(timer)
    const { loadAverage1m, runnable } = readLoadAverage()
    const runnableSamples = samples.length === 0 ? [runnable] : samples
    return {
      cores: cpus().length,
      runnableMean: Math.round(runnableSamples.reduce((sum, n) => sum + n, 0) / runnableSamples.length * 10) / 10,
      runnableMax: Math.max(...runnableSamples),
      loadAverage1m
    }
  }
}
