import { createChunkList } from '@orioleslip/core'

/** Queue of the received and not yet read chunks of one body. */
export type ByteQueue = {
  push: (chunk: Uint8Array) => void
  end: () => void
  fail: (err: Error) => void
  /** Returns the next chunk, or undefined at the end of the body. Rejects if the body failed. */
  read: () => Promise<Uint8Array | undefined>
  /** Takes the rest of a body whose end has arrived, without waiting; undefined if more may come or the body failed. */
  takeRest: () => Uint8Array | undefined
  /** Number of bytes pushed and not yet read. */
  size: () => number
}

/** Creates a queue; `onRead` is called with the length of each chunk that is read, so that the owner can return credit to the sender. */
export function createByteQueue (onRead: (bytes: number) => void): ByteQueue {
  const chunks = createChunkList()
  let state: { kind: 'open' } | { kind: 'ended' } | { kind: 'failed', err: Error } = { kind: 'open' }
  let pendingRead: { resolve: (chunk: Uint8Array | undefined) => void, reject: (err: Error) => void } | undefined

  const take = (): Uint8Array | undefined => {
    const chunk = chunks.shift()
    if (chunk !== undefined) onRead(chunk.length)
    return chunk
  }
  const settle = () => {
    if (pendingRead === undefined) return
    const { resolve, reject } = pendingRead
    if (!chunks.isEmpty()) {
      pendingRead = undefined
      resolve(take())
    } else if (state.kind === 'ended') {
      pendingRead = undefined
      resolve(undefined)
    } else if (state.kind === 'failed') {
      pendingRead = undefined
      reject(state.err)
    }
  }
  return {
    push: (chunk) => {
      if (state.kind !== 'open' || chunk.length === 0) return
      chunks.push(chunk)
      settle()
    },
    end: () => {
      if (state.kind === 'open') state = { kind: 'ended' }
      settle()
    },
    fail: (err) => {
      if (state.kind === 'open') state = { kind: 'failed', err }
      settle()
    },
    read: () => new Promise((resolve, reject) => {
      pendingRead = { resolve, reject }
      settle()
    }),
    takeRest: () => {
      if (state.kind !== 'ended') return undefined
      const rest = chunks.takeAll()
      if (rest.length > 0) onRead(rest.length)
      return rest
    },
    size: chunks.size
  }
}

/** Reads a complete body into memory; returns undefined if it is longer than `limitBytes`. */
export async function readAll (queue: Pick<ByteQueue, 'read'>, limitBytes: number): Promise<Uint8Array | undefined> {
  const chunks = createChunkList()
  for (;;) {
    const chunk = await queue.read()
    if (chunk === undefined) return chunks.takeAll()
    chunks.push(chunk)
    if (chunks.size() > limitBytes) return undefined
  }
}
