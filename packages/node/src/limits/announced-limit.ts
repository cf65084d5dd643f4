import type { ConcurrencyLimit } from './concurrency-limit.js'

/** Creates a limit equal to the announced capacity, for targets that announce their slots exactly; it has no ramp after a restart. */
export function createAnnouncedLimit (): ConcurrencyLimit {
  let capacity = 0
  return {
    limit: () => capacity,
    targetStarted: (announced) => { capacity = announced },
    dispatched: (opKey) => ({ sequence: 0, opKey, phase: undefined }),
    ended: () => {}
  }
}
