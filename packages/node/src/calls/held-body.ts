import { createChunkList, type ChunkList } from '@orioleslip/core'
import type { ByteQueue } from '../links/byte-queue.js'

/** Largest body that is held, and all held bodies of a process together, in bytes. */
const HELD_BODY_BYTES = 4 * 1024 * 1024
const ALL_HELD_BYTES = 32 * 1024 * 1024

let allHeldBytes = 0

/** The body of a response that is held until it is whole. */
export type HeldBody = {
  /** Reads a body to its end; false once it is too large to be held, and the rest has to be read from the queue. */
  hold: (body: Pick<ByteQueue, 'read'>) => Promise<boolean>
  /** What was read so far. */
  chunks: Pick<ChunkList, 'shift' | 'takeAll'>
  /** Has to be called once the body is no longer needed. */
  release: () => void
}

/** Creates an empty body; all bodies of the process share a limit. */
export function createHeldBody (): HeldBody {
  const chunks = createChunkList()
  let bytes = 0
  return {
    hold: async (body) => {
      while (bytes <= HELD_BODY_BYTES && allHeldBytes <= ALL_HELD_BYTES) {
        const chunk = await body.read()
        if (chunk === undefined) return true
        chunks.push(chunk)
        bytes += chunk.length
        allHeldBytes += chunk.length
      }
      return false
    },
    chunks,
    release: () => {
      allHeldBytes -= bytes
      bytes = 0
    }
  }
}
