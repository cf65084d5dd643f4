import { createHash } from 'node:crypto'
import { createChunkList, type ChunkList, type FinishedRun } from '@orioleslip/core'

/** Largest response body that is recorded, in bytes; of larger ones only status and digest are recorded. */
export const STORED_RESPONSE_BODY_BYTES = 16 * 1024

/** Creates a recorder of a target's response while it streams to the caller; it buffers at most 16 KiB. */
export function createResponseRecorder (status: number, headers: string[]) {
  const hash = createHash('sha256')
  let chunks: ChunkList | undefined = createChunkList()
  let bytes = 0
  return {
    add: (chunk: Uint8Array) => {
      hash.update(chunk)
      bytes += chunk.byteLength
      if (bytes > STORED_RESPONSE_BODY_BYTES) chunks = undefined
      // Copied, since the HTTP client may reuse the memory behind a chunk.
      chunks?.push(Uint8Array.from(chunk))
    },
    /** Returns the run to record; call it once, after the last byte of a complete response. */
    done: (): FinishedRun => {
      const run = { status, bodySha256: hash.digest('hex') }
      return chunks === undefined ? run : { ...run, answer: { status, headers, body: chunks.takeAll() } }
    }
  }
}
