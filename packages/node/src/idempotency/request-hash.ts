import { createHash } from 'node:crypto'

/** Largest body of a non-repeatable operation, in bytes. It is buffered for the hash; larger ones are refused with `body-too-large`. */
export const HASHED_BODY_LIMIT_BYTES = 256 * 1024

/**
 * SHA-256 of method, path, query and body, in hex. `pathWithQuery` is the request target within the service, as received. Each part
 * is preceded by its length, so no two different requests have the same input.
 */
export function requestHashOf (method: string, pathWithQuery: string, body: Uint8Array): string {
  const hash = createHash('sha256')
  for (const part of [Buffer.from(method), Buffer.from(pathWithQuery), body]) hash.update(`${part.byteLength}:`).update(part)
  return hash.digest('hex')
}
