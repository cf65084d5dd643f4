import { TOKEN_LIFETIME_MS } from './commands.js'
import { uuid7TimeMs } from './uuid7.js'

/** JSON snapshot of the fences: tokens in lower case, and the time at which each is checked for expiry, in order of insertion. */
export type FencesState = { tokens: string[], recheckMs: number[] }

const EXAMINED_PER_CALL = 16

/**
 * Creates the set of fenced tokens, which must never be granted again. A fence is kept until its token exceeds the token lifetime;
 * from then on every claim of the token is refused because of its age, so an executor that was frozen can resume at any time.
 */
export function createFences (limit: number) {
  let fences = new Map<string, number>()

  const expiryMs = (token: string) => (uuid7TimeMs(token) ?? 0) + TOKEN_LIFETIME_MS
  // A token dated ahead is checked again after one lifetime, so that it doesn't block the expiry of later fences.
  const recheckAtMs = (token: string, nowMs: number) => Math.min(expiryMs(token), nowMs + TOKEN_LIFETIME_MS)

  return {
    has: (token: string) => fences.has(token),
    /** Adds a fence; false when the limit is reached. */
    add: (token: string, nowMs: number): boolean => {
      if (fences.has(token)) return true
      if (fences.size >= limit) return false
      fences.set(token, recheckAtMs(token, nowMs))
      return true
    },
    /** Removes expired fences; checks a bounded number per call to bound the pause. */
    expire: (nowMs: number) => {
      for (let i = 0; i < EXAMINED_PER_CALL; i++) {
        const oldest = fences.entries().next()
        if (oldest.done || oldest.value[1] > nowMs) return
        const token = oldest.value[0]
        fences.delete(token)
        if (expiryMs(token) > nowMs) fences.set(token, recheckAtMs(token, nowMs))
      }
    },
    size: () => fences.size,
    snapshot: (): FencesState => ({ tokens: [...fences.keys()], recheckMs: [...fences.values()] }),
    restore: (state: FencesState) => { fences = new Map(state.tokens.map((token, i) => [token, state.recheckMs[i]!])) }
  }
}
export type Fences = ReturnType<typeof createFences>
