import { notRun } from '@orioleslip/core'
import type { Clock, EntryAdmission, Random } from '@orioleslip/core'
import { LRUCache } from 'lru-cache'

// Entry operation keys come from the plans; the bound only matters when plans are replaced many times.
const MAX_OPERATIONS = 2000
// Time constants of the estimate. Rising is faster: work on calls that will be dropped is wasted.
const RISE_MS = 50
const FALL_MS = 200
// Without answers the estimate is held, then halves in each further period.
const HOLD_MS = 2000
const HALF_LIFE_MS = 1000
// Refused requests that are let through to learn the current level.
const PROBE_SHARE = 0.01
const PROBE_INTERVAL_MS = 1000
const RETRY_AFTER_MIN_S = 1
const RETRY_AFTER_SPREAD_S = 4

type Estimate = { level: number, learntMs: number, probedMs: number }

/** Creates the admission decision of an entry node. */
export function createEntryAdmission (opts: { clock: Clock, random: Random }): EntryAdmission {
  const { clock, random } = opts
  const estimates = new LRUCache<string, Estimate>({ max: MAX_OPERATIONS })

  const current = (estimate: Estimate): number => {
    const idleMs = clock.nowMs() - estimate.learntMs - HOLD_MS
    return idleMs <= 0 ? estimate.level : estimate.level * 0.5 ** (idleMs / HALF_LIFE_MS)
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
        estimates.set(opKey, { level: pathLevel, learntMs: nowMs, probedMs: nowMs })
        return
      }
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
      const nowMs = clock.nowMs()
      if (nowMs - estimate.probedMs >= PROBE_INTERVAL_MS || random.next() < PROBE_SHARE) {
        estimate.probedMs = nowMs
        return undefined
      }
      return notRun('overloaded', `requests of priority ${priority} are refused below level ${Math.ceil(level)}`,
        RETRY_AFTER_MIN_S + random.int(RETRY_AFTER_SPREAD_S))
    }
  }
}
