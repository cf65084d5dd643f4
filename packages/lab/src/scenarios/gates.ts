import type { LoadReport } from '@orioleslip/core'
import { getJson, type Fleet } from '../fleet/fleet.js'

/** Gate state at `atMs` after the start of a run, averaged over the nodes of a service. */
export type GateSample = { atMs: number, service: string, level: number, limit: number, inFlight: number, queued: number }

const INTERVAL_MS = 500

/** Samples the target gates from the nodes' state until the returned function is called, which returns the samples. */
export function watchGates (fleet: Fleet): () => GateSample[] {
  const startMs = performance.now()
  const samples: GateSample[] = []
  const services = [...new Set(fleet.vms.flatMap((vm) => vm.spec.target === undefined ? [] : [vm.spec.target.service]))]
  const sample = async (service: string) => {
    const atMs = Math.round(performance.now() - startMs)
    const states = await Promise.all(fleet.vmsOfService(service).map((vm) =>
      getJson<{ load: LoadReport }>(`${vm.url}/.well-known/orioleslip/state`).catch(() => undefined)))
    const loads = states.flatMap((state) => state === undefined ? [] : [state.load])
    if (loads.length === 0) return
    const mean = (field: 'level' | 'limit' | 'inFlight' | 'queued') => Math.round(loads.reduce((sum, load) => sum + load[field], 0) / loads.length * 10) / 10
    samples.push({ atMs, service, level: mean('level'), limit: mean('limit'), inFlight: mean('inFlight'), queued: mean('queued') })
  }
  const timer = setInterval(() => { for (const service of services) sample(service).catch(() => undefined) }, INTERVAL_MS)
  return () => {
    clearInterval(timer)
    return samples.sort((a, b) => a.atMs - b.atMs)
  }
}
