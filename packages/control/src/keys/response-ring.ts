const CHUNK_BYTES = 1024 * 1024

/** JSON snapshot of the ring; chunks are in base64. */
export type ResponseRingState = { writtenBytes: number, chunks: string[] }

/**
 * Creates the store of responses: a ring buffer of `capacityBytes`, allocated in chunks as it fills. A write overwrites the oldest
 * responses, so eviction needs no list of responses and no extra work.
 */
export function createResponseRing (capacityBytes: number) {
  const chunkBytes = Math.min(CHUNK_BYTES, capacityBytes)
  let writtenBytes = 0
  let chunks: Buffer[] = []

  function eachPart (pos: number, length: number, visit: (chunk: Buffer, start: number, done: number, size: number) => void) {
    for (let done = 0; done < length;) {
      const at = (pos + done) % capacityBytes
      const index = Math.floor(at / chunkBytes)
      const start = at % chunkBytes
      const size = Math.min(length - done, chunkBytes - start, capacityBytes - at)
      while (chunks.length <= index) chunks.push(Buffer.alloc(chunkBytes))
      visit(chunks[index]!, start, done, size)
      done += size
    }
  }

  return {
    /** Writes a response and returns its position; undefined when it is larger than the ring. */
    write: (bytes: Buffer): number | undefined => {
      if (bytes.length > capacityBytes) return undefined
      const pos = writtenBytes
      eachPart(pos, bytes.length, (chunk, start, done, size) => bytes.copy(chunk, start, done, done + size))
      writtenBytes += bytes.length
      return pos
    },
    /** Reads a response; undefined when it has been overwritten. */
    read: (pos: number, length: number): Buffer | undefined => {
      if (writtenBytes - pos > capacityBytes) return undefined
      const bytes = Buffer.alloc(length)
      eachPart(pos, length, (chunk, start, done, size) => chunk.copy(bytes, done, start, start + size))
      return bytes
    },
    snapshot: (): ResponseRingState => ({ writtenBytes, chunks: chunks.map((chunk) => chunk.toString('base64')) }),
    restore: (state: ResponseRingState) => {
      writtenBytes = state.writtenBytes
      chunks = state.chunks.map((chunk) => Buffer.from(chunk, 'base64'))
    }
  }
}
export type ResponseRing = ReturnType<typeof createResponseRing>
