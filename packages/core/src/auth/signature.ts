import { createHmac, timingSafeEqual } from 'node:crypto'

/** Signs bytes with HMAC-SHA256, truncated to `bytes` bytes. */
export function sign (key: string, data: string | Uint8Array, bytes = 32): Buffer {
  return createHmac('sha256', key).update(data).digest().subarray(0, bytes)
}

/** True when `signature` is the one that `sign` computes for `data`; takes constant time. Signatures under 16 bytes are rejected. */
export function verifySignature (key: string, data: string | Uint8Array, signature: Uint8Array): boolean {
  const expected = sign(key, data, signature.length)
  return signature.length >= 16 && expected.length === signature.length && timingSafeEqual(expected, signature)
}
