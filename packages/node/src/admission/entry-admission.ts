import { notRun } from '@orioleslip/core'
import type { Clock, EntryAdmission, Random } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

// Entry operation keys come from the plans; the limit only matters when plans are replaced many times.
const MAX_OPERATIONS = 2000
// Time constants of the level estimate. It rises faster than it falls, because work on calls that are dropped later is wasted.
const RISE_MS = 50
const FALL_MS = 100
// An estimate without a response for this long is stale and is bounded by the levels of the other operations of its service.
// Otherwise rarely called operations would stay refused until each has had its own probe.
const STALE_AFTER_MS = 2000
// While no operation of the service gets responses, the estimate halves in each such period.
const HALF_LIFE_MS = 1000
// Probes are requests that are let through to measure the current level; their rate is limited per operation and per node. In a fleet
// of 770 nodes with several hundred operations each, a limit per operation alone would let the whole demand through.
const PROBE_INTERVAL_MS = 500
const PROBES_PER_S = 3
const RETRY_AFTER_MIN_S = 1
const RETRY_AFTER_JITTER_S = 4

/** Level estimate of one entry operation. */
type Estimate = { level: number, updatedMs: number, lastProbeMs: number, service: ServiceMax }

/** Highest path level in the responses of one service's operations in the current and the previous period of `STALE_AFTER_MS`. */
type ServiceMax = { current: number, previous: number, sinceMs: number, updatedMs: number }

/** Creates the admission decision of an entry node. */
export function createEntryAdmission (opts: { clock: Clock, random: Random }): EntryAdmission {
  const { clock, random } = opts
  const estimates = new LRUCache<string, Estimate>({ max: MAX_OPERATIONS })
  const services = new LRUCache<string, ServiceMax>({ max: MAX_OPERATIONS })
  let probeTokens = 1
  let probeTokensUpdatedMs = clock.nowMs()

  const serviceMaxOf = (opKey: string): ServiceMax => {
    const name = opKey.split(' ')[1] ?? ''
    const known = services.get(name)
    if (known !== undefined) return known
    const service = { current: 0, previous: 0, sinceMs: clock.nowMs(), updatedMs: clock.nowMs() }
    services.set(name, service)
    return service
  }
  const recordServiceLevel = (service: ServiceMax, pathLevel: number): void => {
    const nowMs = clock.nowMs()
    const periods = Math.floor((nowMs - service.sinceMs) / STALE_AFTER_MS)
    if (periods > 0) {
      service.previous = periods === 1 ? service.current : 0
      service.current = 0
      service.sinceMs += periods * STALE_AFTER_MS
    }
    service.current = Math.max(service.current, pathLevel)
    service.updatedMs = nowMs
  }
  const currentLevel = (estimate: Estimate): number => {
    const nowMs = clock.nowMs()
    if (nowMs - estimate.updatedMs <= STALE_AFTER_MS) return estimate.level
    const { service } = estimate
    const idleMs = nowMs - service.updatedMs - STALE_AFTER_MS
    if (idleMs <= 0) return Math.min(estimate.level, Math.max(service.current, service.previous))
    return estimate.level * 0.5 ** (idleMs / HALF_LIFE_MS)
  }
  const takeProbe = (estimate: Estimate): boolean => {
    const nowMs = clock.nowMs()
    if (nowMs - estimate.lastProbeMs < PROBE_INTERVAL_MS) return false
    probeTokens = Math.min(1, probeTokens + (nowMs - probeTokensUpdatedMs) / 1000 * PROBES_PER_S)
    probeTokensUpdatedMs = nowMs
    if (probeTokens < 1) return false
    probeTokens--
    return true
  }
  return {
    level: (opKey) => {
      const estimate = estimates.get(opKey)
      return estimate === undefined ? 0 : currentLevel(estimate)
    },
    recordPathLevel: (opKey, pathLevel) => {
      const nowMs = clock.nowMs()
      const estimate = estimates.get(opKey)
      if (estimate === undefined) {
        const service = serviceMaxOf(opKey)
        recordServiceLevel(service, pathLevel)
        estimates.set(opKey, { level: pathLevel, updatedMs: nowMs, lastProbeMs: nowMs, service })
        return
      }
      recordServiceLevel(estimate.service, pathLevel)
      const level = currentLevel(estimate)
      // Counts at least 1 ms, so that each of several responses within one millisecond has weight.
      const elapsedMs = Math.max(1, nowMs - estimate.updatedMs)
      estimate.level = level + (pathLevel - level) * (1 - Math.exp(-elapsedMs / (pathLevel > level ? RISE_MS : FALL_MS)))
      estimate.updatedMs = nowMs
    },
    check: (opKey, priority) => {
      const estimate = estimates.get(opKey)
      if (estimate === undefined) return undefined
      const level = currentLevel(estimate)
      if (priority >= level) return undefined
      // Within the priority that contains the level, the refused share equals the fraction of the level.
      if (priority + 1 > level && random.next() >= level - priority) return undefined
      if (takeProbe(estimate)) {
        estimate.lastProbeMs = clock.nowMs()
        return undefined
      }
      return notRun('overloaded', `requests of priority ${priority} are refused below level ${Math.ceil(level)}`,
        RETRY_AFTER_MIN_S + random.int(RETRY_AFTER_JITTER_S))
    }
  }
}
