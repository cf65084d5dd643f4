import { TOKEN_LIFETIME_MS } from './commands.js'
import { uuid7TimeMs } from './uuid7.js'

/** Copy of the fences in JSON: tokens in lower case and the times at which they are looked at again, oldest first. */
export type FencesState = { tokens: string[], recheckMs: number[] }

const EXPIRED_PER_CALL = 16

/**
 * Creates the set of tokens that must never be granted again. A fence is kept until its token is older than the token lifetime;
 * from then on every claim of the token is refused because of its age, so a frozen executor may wake up at any time.
 */
export function createFences (limit: number) {
  let fences = new Map<string, number>()

  const endMs = (token: string) => (uuid7TimeMs(token) ?? 0) + TOKEN_LIFETIME_MS
  // A token dated ahead is looked at again after one lifetime, so that it doesn't hold up the expiry of those behind it.
  const recheck = (token: string, nowMs: number) => Math.min(endMs(token), nowMs + TOKEN_LIFETIME_MS)

  return {
    has: (token: string) => fences.has(token),
    /** Adds a fence; false when all are in use. */
    add: (token: string, nowMs: number): boolean => {
      if (fences.has(token)) return true
      if (fences.size >= limit) return false
      fences.set(token, recheck(token, nowMs))
      return true
    },
    expire: (nowMs: number) => {
      for (let i = 0; i < EXPIRED_PER_CALL; i++) {
        const oldest = fences.entries().next()
        if (oldest.done || oldest.value[1] > nowMs) return
        const token = oldest.value[0]
        fences.delete(token)
        if (endMs(token) > nowMs) fences.set(token, recheck(token, nowMs))
      }
    },
    size: () => fences.size,
    snapshot: (): FencesState => ({ tokens: [...fences.keys()], recheckMs: [...fences.values()] }),
    restore: (state: FencesState) => { fences = new Map(state.tokens.map((token, i) => [token, state.recheckMs[i]!])) }
  }
}
export type Fences = ReturnType<typeof createFences>
