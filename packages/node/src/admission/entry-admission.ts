import { notRun } from '@orioleslip/core'
import type { Clock, EntryAdmission, Random } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

// Entry operation keys come from the plans; the bound only matters when plans are replaced many times.
const MAX_OPERATIONS = 2000
// Time constants of the estimate. Rising is faster: work on calls that will be dropped is wasted.
const RISE_MS = 50
const FALL_MS = 100
// After this time without answers an estimate is stale: it is then bounded by what the other operations of the same service learn.
// Without this, operations that are called rarely would stay refused until each has had a probe of its own.
const HOLD_MS = 2000
// When no operation of the service gets answers, the estimate halves in each such period.
const HALF_LIFE_MS = 1000
// Refused requests that are let through to learn the current level, for each operation and for the whole node. A fleet of 770 nodes
// has several hundred operations on each of them, so that a rate per operation alone would add up to the whole demand.
const PROBE_INTERVAL_MS = 500
const PROBES_PER_S = 3
const RETRY_AFTER_MIN_S = 1
const RETRY_AFTER_SPREAD_S = 4

type Estimate = { level: number, learntMs: number, probedMs: number, service: ServiceMax }

/** Highest path level in the answers of one service's operations during the current and the previous period. */
type ServiceMax = { current: number, previous: number, sinceMs: number, learntMs: number }

/** Creates the admission decision of an entry node. */
export function createEntryAdmission (opts: { clock: Clock, random: Random }): EntryAdmission {
  const { clock, random } = opts
  const estimates = new LRUCache<string, Estimate>({ max: MAX_OPERATIONS })
  const services = new LRUCache<string, ServiceMax>({ max: MAX_OPERATIONS })
  let probeTokens = 1
  let probeTokensMs = clock.nowMs()

  const serviceOf = (opKey: string): ServiceMax => {
    const name = opKey.split(' ')[1] ?? ''
    const known = services.get(name)
    if (known !== undefined) return known
    const service = { current: 0, previous: 0, sinceMs: clock.nowMs(), learntMs: clock.nowMs() }
    services.set(name, service)
    return service
  }
  const learnOfService = (service: ServiceMax, pathLevel: number): void => {
    const nowMs = clock.nowMs()
    const periods = Math.floor((nowMs - service.sinceMs) / HOLD_MS)
    if (periods > 0) {
      service.previous = periods === 1 ? service.current : 0
      service.current = 0
      service.sinceMs += periods * HOLD_MS
    }
    service.current = Math.max(service.current, pathLevel)
    service.learntMs = nowMs
  }
  const current = (estimate: Estimate): number => {
    const nowMs = clock.nowMs()
    if (nowMs - estimate.learntMs <= HOLD_MS) return estimate.level
    const { service } = estimate
    const idleMs = nowMs - service.learntMs - HOLD_MS
    if (idleMs <= 0) return Math.min(estimate.level, Math.max(service.current, service.previous))
    return estimate.level * 0.5 ** (idleMs / HALF_LIFE_MS)
  }
  const mayProbe = (estimate: Estimate): boolean => {
    const nowMs = clock.nowMs()
    if (nowMs - estimate.probedMs < PROBE_INTERVAL_MS) return false
    probeTokens = Math.min(1, probeTokens + (nowMs - probeTokensMs) / 1000 * PROBES_PER_S)
    probeTokensMs = nowMs
    if (probeTokens < 1) return false
    probeTokens--
    return true
  }
  return {
    level: (opKey) => {
      const estimate = estimates.get(opKey)
      return estimate === undefined ? 0 : current(estimate)
    },
    learn: (opKey, pathLevel) => {
      const nowMs = clock.nowMs()
      const estimate = estimates.get(opKey)
      if (estimate === undefined) {
        const service = serviceOf(opKey)
        learnOfService(service, pathLevel)
        estimates.set(opKey, { level: pathLevel, learntMs: nowMs, probedMs: nowMs, service })
        return
      }
      learnOfService(estimate.service, pathLevel)
      const level = current(estimate)
      // At least 1 ms counts as passed, so that several answers within one millisecond all have weight.
      const passedMs = Math.max(1, nowMs - estimate.learntMs)
      estimate.level = level + (pathLevel - level) * (1 - Math.exp(-passedMs / (pathLevel > level ? RISE_MS : FALL_MS)))
      estimate.learntMs = nowMs
    },
    judge: (opKey, priority) => {
      const estimate = estimates.get(opKey)
      if (estimate === undefined) return undefined
      const level = current(estimate)
      if (priority >= level) return undefined
      // The priority in which the level lies is refused in proportion.
      if (priority + 1 > level && random.next() >= level - priority) return undefined
      if (mayProbe(estimate)) {
        estimate.probedMs = clock.nowMs()
        return undefined
      }
      return notRun('overloaded', `requests of priority ${priority} are refused below level ${Math.ceil(level)}`,
        RETRY_AFTER_MIN_S + random.int(RETRY_AFTER_SPREAD_S))
    }
  }
}
