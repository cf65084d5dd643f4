import type { OperatorKey } from '../settings/schema.js'
import type { Clock } from '../time/clock.js'
import { parseAuthorization, verifyCredential, type Principal, type SignedRequest } from './request-auth.js'

/** Who sent a request. `claimed` is the name that an unauthenticated sender gave. */
export type Caller = Principal | { kind: 'unauthenticated', claimed: string, reason: string }

export type RequestVerifier = (header: string | undefined, req: SignedRequest) => Caller

/** Largest difference between the clocks of sender and control VM, in ms. A captured request is useless after this time. */
export const MAX_CLOCK_SKEW_MS = 30_000

// Far above what operators send within the skew; when it is reached, operator requests are refused rather than replays let through.
const MAX_NONCES = 10_000

/**
 * Creates the check of `Authorization` headers. Operator requests are accepted once per nonce. Fleet requests may be repeated within
 * the clock skew: replica messages and key commands are idempotent, and remembering their nonces would cost memory per call.
 */
export function createRequestVerifier (
  options: { fleetKey: string, operators: readonly OperatorKey[], clock: Clock }
): RequestVerifier {
  const { fleetKey, clock } = options
  const operatorKeys = new Map(options.operators.map(({ name, key }) => [name, key]))
  // Nonce to the time at which it may be forgotten. Insertion order is close to expiry order.
  const seen = new Map<string, number>()

  function isFresh (nonce: string, nowMs: number): boolean {
    for (const [old, untilMs] of seen) {
      if (untilMs > nowMs) break
      seen.delete(old)
    }
    if (seen.has(nonce) || seen.size >= MAX_NONCES) return false
    // A request may be dated ahead by the skew and stays valid for the skew after that, its last millisecond included.
    seen.set(nonce, nowMs + 2 * MAX_CLOCK_SKEW_MS + 1)
    return true
  }

  return (header, req) => {
    const refuse = (reason: string, claimed = 'unknown'): Caller => ({ kind: 'unauthenticated', claimed, reason })
    if (header === undefined) return refuse('the request is not signed; set the operator name and key')
    const credential = parseAuthorization(header)
    if (credential === undefined) return refuse('the Authorization header is malformed')
    const { principal } = credential
    const name = principal.kind === 'fleet' ? 'fleet' : principal.name
    const key = principal.kind === 'fleet' ? fleetKey : operatorKeys.get(principal.name)
    if (key === undefined) return refuse(`operator "${name}" is not in the settings of this process`, name)
    if (!verifyCredential(credential, key, req)) {
      return refuse(`the signature does not match; check the key and that the request was sent to ${req.authority}`, name)
    }
    const nowMs = clock.wallMs()
    if (Math.abs(nowMs - credential.wallMs) > MAX_CLOCK_SKEW_MS) {
      return refuse(`the clocks differ by more than ${MAX_CLOCK_SKEW_MS / 1000} s; correct the clock of the sender or of this VM`, name)
    }
    if (principal.kind === 'operator' && !isFresh(credential.nonce, nowMs)) return refuse('the request was sent before; sign it again', name)
    return principal
  }
}
