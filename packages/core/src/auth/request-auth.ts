import { createHash, randomBytes } from 'node:crypto'
import { sign, verifySignature } from './signature.js'

/** Signer of a control API request: any process of the fleet, or one operator. */
export type Principal = { kind: 'fleet' } | { kind: 'operator', name: string }

/** The parts of a request that the signature covers. */
export type SignedRequest = {
  method: string
  /** `address:port` from the settings of the control VM; binds the signature to that VM, so that no other VM accepts a captured request. */
  authority: string
  /** Path and query. */
  path: string
  body: string
}

/** Content of the `Authorization` header of a control API request. */
export type RequestCredential = { principal: Principal, wallMs: number, nonce: string, signature: Buffer }

const SCHEME = 'Orioleslip-HMAC'
const OPERATOR_PREFIX = 'operator/'

function payload (req: SignedRequest, principal: string, wallMs: number, nonce: string): string {
  const bodyHash = createHash('sha256').update(req.body).digest('hex')
  return [principal, wallMs, nonce, req.method, req.authority, req.path, bodyHash].join('\n')
}

function principalName (principal: Principal): string {
  return principal.kind === 'fleet' ? 'fleet' : OPERATOR_PREFIX + principal.name
}

/** Builds the `Authorization` header of a control API request. */
export function authorizeRequest (principal: Principal, key: string, req: SignedRequest, wallMs: number): string {
  const name = principalName(principal)
  const nonce = randomBytes(12).toString('base64url')
  return `${SCHEME} ${name}:${wallMs}:${nonce}:${sign(key, payload(req, name, wallMs, nonce)).toString('base64url')}`
}

/** Parses an `Authorization` header; undefined when it is absent or malformed. */
export function parseAuthorization (header: string | undefined): RequestCredential | undefined {
  const match = /^Orioleslip-HMAC (fleet|operator\/[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}):(\d{1,15}):([\w-]{16}):([\w-]{43})$/.exec(header ?? '')
  if (match === null) return undefined
  const [, name, wallMs, nonce, signature] = match as unknown as [string, string, string, string, string]
  const principal: Principal = name === 'fleet' ? { kind: 'fleet' } : { kind: 'operator', name: name.slice(OPERATOR_PREFIX.length) }
  return { principal, wallMs: Number(wallMs), nonce, signature: Buffer.from(signature, 'base64url') }
}

/** True when the credential's signature matches this request and key. `RequestVerifier` checks its age and reuse. */
export function verifyCredential (credential: RequestCredential, key: string, req: SignedRequest): boolean {
  const data = payload(req, principalName(credential.principal), credential.wallMs, credential.nonce)
  return verifySignature(key, data, credential.signature)
}
