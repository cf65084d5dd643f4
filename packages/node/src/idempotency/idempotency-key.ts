import { err, ok, type Result } from 'neverthrow'
import { parseItem } from 'structured-headers'
import { notRun, type Refusal } from '@orioleslip/core'

/** Longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 255

/**
 * Parses the value of `Idempotency-Key`: a structured-field string (in double quotes, as in the IETF draft) or the bare key.
 * Errors: `key-required` without a value, `bad-request` for an empty, overlong or malformed one.
 */
export function parseIdempotencyKey (header: string | undefined): Result<string, Refusal> {
  if (header === undefined) return err(notRun('key-required', 'the operation is not repeatable and the request has no Idempotency-Key header'))
  const text = header.trim()
  let key = text
  if (text.startsWith('"')) {
    try {
      const [item] = parseItem(text)
      key = typeof item === 'string' ? item : ''
    } catch {
      key = ''
    }
  }
  if (!/^[\x20-\x7e]+$/.test(key) || key.length > MAX_KEY_LENGTH) {
    return err(notRun('bad-request', `the Idempotency-Key header must hold 1 to ${MAX_KEY_LENGTH} printable ASCII characters`))
  }
  return ok(key)
}
