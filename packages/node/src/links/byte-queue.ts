/** Chunks of one body, from the side that receives them to the side that reads them. */
export type ByteQueue = {
  push: (chunk: Uint8Array) => void
  end: () => void
  fail: (err: Error) => void
  /** Next chunk; undefined at the end. Rejects when the body failed. */
  read: () => Promise<Uint8Array | undefined>
  /** Bytes pushed and not yet read. */
  size: () => number
}

/** Creates a queue; `onRead` is told of consumed bytes, from which the owner derives credit. */
export function createByteQueue (onRead: (bytes: number) => void): ByteQueue {
  const chunks: Uint8Array[] = []
  let bytes = 0
  let state: { kind: 'open' } | { kind: 'ended' } | { kind: 'failed', err: Error } = { kind: 'open' }
  let waiter: { resolve: (chunk: Uint8Array | undefined) => void, reject: (err: Error) => void } | undefined

  const take = (): Uint8Array | undefined => {
    const chunk = chunks.shift()
    if (chunk !== undefined) {
      bytes -= chunk.length
      onRead(chunk.length)
    }
    return chunk
  }
  const settle = () => {
    if (waiter === undefined) return
    const { resolve, reject } = waiter
    if (chunks.length > 0) {
      waiter = undefined
      resolve(take())
    } else if (state.kind === 'ended') {
      waiter = undefined
      resolve(undefined)
    } else if (state.kind === 'failed') {
      waiter = undefined
      reject(state.err)
    }
  }
  return {
    push: (chunk) => {
      if (state.kind !== 'open' || chunk.length === 0) return
      chunks.push(chunk)
      bytes += chunk.length
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
      waiter = { resolve, reject }
      settle()
    }),
    size: () => bytes
  }
}

/** Reads a whole body into memory; undefined when it is longer than `limitBytes`. */
export async function readAll (queue: Pick<ByteQueue, 'read'>, limitBytes: number): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  for (;;) {
    const chunk = await queue.read()
    if (chunk === undefined) return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)
    bytes += chunk.length
    if (bytes > limitBytes) return undefined
    chunks.push(chunk)
  }
}
