import { createHash } from 'node:crypto'
import type { FinishedRun } from '@orioleslip/core'

/** Responses with larger bodies are recorded by status and digest only, in bytes. */
export const STORED_ANSWER_BODY_BYTES = 16 * 1024

/** Collects a target's response while it streams to the caller; keeps at most 16 KiB of it. */
export function createAnswerRecorder (status: number, headers: string[]) {
  const hash = createHash('sha256')
  let parts: Uint8Array[] | undefined = []
  let bytes = 0
  return {
    add: (chunk: Uint8Array) => {
      hash.update(chunk)
      bytes += chunk.byteLength
      if (bytes > STORED_ANSWER_BODY_BYTES) parts = undefined
      // Copied, since the HTTP client may reuse the memory behind a chunk.
      parts?.push(Uint8Array.from(chunk))
    },
    /** Returns the run to record; call it once, after the last byte of a complete response. */
    done: (): FinishedRun => {
      const run = { status, bodySha256: hash.digest('hex') }
      return parts === undefined ? run : { ...run, answer: { status, headers, body: Buffer.concat(parts) } }
    }
  }
}
