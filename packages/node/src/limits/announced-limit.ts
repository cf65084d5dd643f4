import type { ConcurrencyLimit } from './concurrency-limit.js'

/** Calls that may run at a target from which no response has come since this process started: its responses may name a limit. */
const FIRST_CALLS = 4

/** Creates a limit equal to the announced capacity, for targets that announce their slots exactly; it is lower until the first response. */
export function createAnnouncedLimit (): ConcurrencyLimit {
  let capacity = 0
  let hasResponded = false
  return {
    limit: () => hasResponded ? capacity : Math.min(capacity, FIRST_CALLS),
    targetStarted: (announced) => {
      capacity = announced
      hasResponded = false
    },
    dispatched: (opKey) => ({ sequence: 0, opKey, phase: undefined }),
    ended: (_dispatch, { kind }) => { hasResponded ||= kind === 'answered' || kind === 'targetShed' }
  }
}
