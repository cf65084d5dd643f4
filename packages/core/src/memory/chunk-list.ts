/** Body bytes in the order in which they arrived. */
export type ChunkList = {
  push: (chunk: Uint8Array) => void
  /** Removes and returns the first bytes, undefined if there are none. */
  shift: () => Uint8Array | undefined
  /** Removes and returns all bytes in one piece; a single chunk is not copied. */
  takeAll: () => Uint8Array
  isEmpty: () => boolean
  /** Number of bytes. */
  size: () => number
}

/** Chunks below this size, in bytes, are copied together, since each costs hundreds of bytes whatever its size. */
export const SMALL_CHUNK_BYTES = 1024
/** Size of the blocks that small chunks are copied into, in bytes. */
const BLOCK_BYTES = 4096

/** Creates an empty list, whose memory is a small multiple of its bytes however small the chunks are. */
export function createChunkList (): ChunkList {
  const chunks: Uint8Array[] = []
  /** Block of the last chunk, if small chunks can still be added to it. */
  let block: Buffer | undefined
  let blockUsed = 0
  let bytes = 0

  const appendToBlock = (chunk: Uint8Array): void => {
    block!.set(chunk, blockUsed)
    blockUsed += chunk.length
    chunks[chunks.length - 1] = block!.subarray(0, blockUsed)
  }
  const push = (chunk: Uint8Array): void => {
    bytes += chunk.length
    const last = chunks.at(-1)
    const isSmall = chunk.length < SMALL_CHUNK_BYTES
    if (isSmall && block !== undefined && blockUsed + chunk.length <= BLOCK_BYTES) return appendToBlock(chunk)
    // The first of several chunks is copied only when another small one follows.
    if (isSmall && block === undefined && last !== undefined && last.length < SMALL_CHUNK_BYTES) {
      block = Buffer.allocUnsafe(BLOCK_BYTES)
      blockUsed = 0
      appendToBlock(last)
      return appendToBlock(chunk)
    }
    block = undefined
    chunks.push(chunk)
  }
  const shift = (): Uint8Array | undefined => {
    const chunk = chunks.shift()
    if (chunks.length === 0) block = undefined
    bytes -= chunk?.length ?? 0
    return chunk
  }
  return {
    push,
    shift,
    takeAll: () => {
      const all = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
      chunks.length = 0
      block = undefined
      bytes = 0
      return all
    },
    isEmpty: () => chunks.length === 0,
    size: () => bytes
  }
}
