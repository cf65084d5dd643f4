import type { ConcurrencyLimit } from './concurrency-limit.js'

/** A limit for targets that announce their slots exactly: nothing is learnt, and a restarted node needs no ramp. */
export function createAnnouncedLimit (): ConcurrencyLimit {
  let capacity = 0
  return {
    limit: () => capacity,
    targetStarted: (announced) => { capacity = announced },
    dispatched: (opKey) => ({ order: 0, opKey, phase: undefined }),
    ended: () => {}
  }
}
