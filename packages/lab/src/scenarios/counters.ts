import type { Fleet } from '../fleet/fleet.js'

/** Counters of nodes and targets, summed over the fleet. The counters of killed processes are lost. */
export type FleetCounters = {
  regionBytesCompleted: number
  regionBytesFailed: number
  /** Retries that nodes made. */
  nodeRetries: number
  /** Refusals by code, of callers' requests at entry nodes and of calls made by targets. */
  refused: Record<string, number>
  /** Retries that stand-in targets made. */
  hopRetries: number
  /** Slot time of all requests, and of those that were cancelled or failed, in ms. */
  targetBusyMs: number
  targetWastedMs: number
  targetShed: number
  /** Requests that targets started, by service. */
  started: Record<string, number>
  /** Idempotency keys, and executions beyond the first of each key; the latter must be 0. */
  keys: number
  duplicates: number
}

/** Reads the counters of all processes that respond. */
export async function readCounters (fleet: Fleet): Promise<FleetCounters> {
  const total: FleetCounters = {
    regionBytesCompleted: 0,
    regionBytesFailed: 0,
    nodeRetries: 0,
    refused: {},
    hopRetries: 0,
    targetBusyMs: 0,
    targetWastedMs: 0,
    targetShed: 0,
    started: {},
    keys: 0,
    duplicates: 0
  }
  const runs = new Map<string, number>()
  await Promise.all(fleet.vms.map(async (vm) => {
    const stats = await vm.stats().catch(() => undefined)
    const counts = vm.spec.target === undefined ? undefined : await vm.counts().catch(() => undefined)
    if (stats !== undefined) {
      total.regionBytesCompleted += stats.regionBytesCompleted
      total.regionBytesFailed += stats.regionBytesFailed
      total.nodeRetries += stats.retries
      for (const [code, n] of Object.entries(stats.refused)) add(total.refused, code, n)
    }
    if (counts !== undefined) {
      total.hopRetries += counts.downstreamRetries
      total.targetBusyMs += counts.busyMs
      total.targetWastedMs += counts.wastedMs
      total.targetShed += counts.shed
      add(total.started, counts.service, counts.started)
      for (const [key, n] of Object.entries(counts.runsByKey)) runs.set(key, (runs.get(key) ?? 0) + n)
    }
  }))
  total.keys = runs.size
  for (const n of runs.values()) total.duplicates += n - 1
  return total
}

function add (into: Record<string, number>, name: string, n: number): void {
  into[name] = (into[name] ?? 0) + n
}

/** Difference of two readings, at least 0 each; a process that was restarted between them counts from 0. */
export function countersSince (before: FleetCounters, now: FleetCounters): FleetCounters {
  const minus = (a: number, b: number) => Math.max(0, Math.round(a - b))
  const records = (a: Record<string, number>, b: Record<string, number>) =>
    Object.fromEntries(Object.entries(a).map(([name, n]) => [name, minus(n, b[name] ?? 0)]))
  return {
    regionBytesCompleted: minus(now.regionBytesCompleted, before.regionBytesCompleted),
    regionBytesFailed: minus(now.regionBytesFailed, before.regionBytesFailed),
    nodeRetries: minus(now.nodeRetries, before.nodeRetries),
    refused: records(now.refused, before.refused),
    hopRetries: minus(now.hopRetries, before.hopRetries),
    targetBusyMs: minus(now.targetBusyMs, before.targetBusyMs),
    targetWastedMs: minus(now.targetWastedMs, before.targetWastedMs),
    targetShed: minus(now.targetShed, before.targetShed),
    started: records(now.started, before.started),
    keys: minus(now.keys, before.keys),
    duplicates: minus(now.duplicates, before.duplicates)
  }
}
