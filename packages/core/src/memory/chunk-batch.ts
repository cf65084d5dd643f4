import { createChunkList, SMALL_CHUNK_BYTES } from './chunk-list.js'

/** Joins small chunks that arrive in one turn of the event loop, so that whoever gets them does its work once for all. */
export type ChunkBatch = {
  add: (chunk: Uint8Array) => void
  /** Passes on what has been added, for example because the body has ended. */
  flush: () => void
  /** Number of bytes that have not been passed on. */
  size: () => number
}

/** Creates an empty batch; `pass` gets its bytes in order, a large chunk at once if none wait, and otherwise at the end of the turn. */
export function createChunkBatch (pass: (chunk: Uint8Array) => void): ChunkBatch {
  const waiting = createChunkList()
  let timer: NodeJS.Immediate | undefined
  const flush = () => {
    if (timer === undefined) return
    clearImmediate(timer)
    timer = undefined
    pass(waiting.takeAll())
  }
  return {
    add: (chunk) => {
      if (timer === undefined && chunk.length >= SMALL_CHUNK_BYTES) return pass(chunk)
      waiting.push(chunk)
      timer ??= setImmediate(flush)
    },
    flush,
    size: waiting.size
  }
}
