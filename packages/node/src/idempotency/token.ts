import { randomBytes } from 'node:crypto'
import type { Clock } from '@orioleslip/core'

/** Generates the token of one attempt: a UUIDv7 (RFC 9562). By its timestamp the register expires the fences of old tokens. */
export function newAttemptToken (clock: Clock): string {
  const bytes = randomBytes(16)
  bytes.writeUIntBE(Math.floor(clock.wallMs()), 0, 6)
  bytes[6] = 0x70 | (bytes[6]! & 0x0f)
  bytes[8] = 0x80 | (bytes[8]! & 0x3f)
  const hex = bytes.toString('hex')
  return `${hex.slice(0, 8)}-${hex.slice(8, 12)}-${hex.slice(12, 16)}-${hex.slice(16, 20)}-${hex.slice(20)}`
}

/** Generates the id of one claim of an attempt by this executor, 16 hex digits. */
export function newClaimId (): string {
  return randomBytes(8).toString('hex')
}
