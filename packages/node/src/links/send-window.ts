/** Credit-based flow control for one sending direction of a stream. */
export type SendWindow = {
  /** Sends the chunk now or as soon as there is credit; if a promise is returned, the sender should await it before the next chunk. */
  write: (chunk: Uint8Array) => Promise<void> | undefined
  credit: (bytes: number) => void
  /** Releases waiting senders; their chunks and later writes are dropped. */
  close: () => void
}

/** Creates a window of `windowBytes`; a chunk is sent whole while any credit is left. */
export function createSendWindow (windowBytes: number, send: (chunk: Uint8Array) => void): SendWindow {
  let available = windowBytes
  let closed = false
  let waiting: Array<() => void> = []
  const blocked = () => available <= 0 && !closed
  const waitForCredit = () => new Promise<void>((resolve) => { waiting.push(resolve) })
  const writeWhenCredited = async (chunk: Uint8Array) => {
    while (blocked()) await waitForCredit()
    if (closed) return
    available -= chunk.length
    send(chunk)
  }
  return {
    write: (chunk) => {
      if (closed) return undefined
      if (available <= 0) return writeWhenCredited(chunk)
      available -= chunk.length
      send(chunk)
      return undefined
    },
    credit: (bytes) => {
      available += bytes
      if (available <= 0) return
      const woken = waiting
      waiting = []
      for (const wake of woken) wake()
    },
    close: () => {
      closed = true
      const woken = waiting
      waiting = []
      for (const wake of woken) wake()
    }
  }
}

/** Creates a function that adds up consumed bytes and returns them as credit in steps of at least `stepBytes`. */
export function createCreditReturn (stepBytes: number, send: (bytes: number) => void): (bytes: number) => void {
  let consumedBytes = 0
  return (bytes) => {
    consumedBytes += bytes
    if (consumedBytes < stepBytes) return
    send(consumedBytes)
    consumedBytes = 0
  }
}
