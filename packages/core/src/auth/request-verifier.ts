import type { OperatorKey } from '../settings/schema.js'
import type { Clock } from '../time/clock.js'
import { parseAuthorization, verifyCredential, type Principal, type SignedRequest } from './request-auth.js'

/** Sender of a request. `claimed` is the unverified name that an unauthenticated sender gave. */
export type Caller = Principal | { kind: 'unauthenticated', claimed: string, reason: string }

/** Identifies the sender of a request from its `Authorization` header. */
export type RequestVerifier = (header: string | undefined, req: SignedRequest) => Caller

/** Largest difference between the clocks of sender and control VM, in ms. Bounds the time in which a captured request is accepted. */
export const MAX_CLOCK_SKEW_MS = 30_000

// Far above what operators send within the clock skew. At this limit, operator requests are refused, so that no replay is accepted.
const MAX_NONCES = 10_000

/**
 * Creates the verifier of `Authorization` headers. It accepts each nonce of an operator once. Fleet requests may be repeated within
 * the clock skew: replica messages and key commands are idempotent, and storing their nonces would cost memory for each call.
 */
export function createRequestVerifier (
  options: { fleetKey: string, operators: readonly OperatorKey[], clock: Clock }
): RequestVerifier {
  const { fleetKey, clock } = options
  const operatorKeys = new Map(options.operators.map(({ name, key }) => [name, key]))
  // Nonce to the time at which it may be removed. Insertion order is close to expiry order.
  const seenNonces = new Map<string, number>()

  function isFresh (nonce: string, nowMs: number): boolean {
    for (const [oldNonce, untilMs] of seenNonces) {
      if (untilMs > nowMs) break
      seenNonces.delete(oldNonce)
    }
    if (seenNonces.has(nonce) || seenNonces.size >= MAX_NONCES) return false
    // A request may be dated ahead by the clock skew and is valid until one skew after its date, inclusive.
    seenNonces.set(nonce, nowMs + 2 * MAX_CLOCK_SKEW_MS + 1)
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
