/** Credit of one sending direction of a stream. */
export type SendWindow = {
  /** Sends the chunk now or as soon as there is credit; a promise means that the sender should wait for it. */
  write: (chunk: Uint8Array) => Promise<void> | undefined
  credit: (bytes: number) => void
  /** Wakes waiting senders for good; later writes are dropped. */
  close: () => void
}

/** Creates a window of `windowBytes`; a chunk goes out whole once any credit is left. */
export function createSendWindow (windowBytes: number, send: (chunk: Uint8Array) => void): SendWindow {
  let available = windowBytes
  let closed = false
  let waiting: Array<() => void> = []
  const blocked = () => available <= 0 && !closed
  const waitForCredit = () => new Promise<void>((resolve) => { waiting.push(resolve) })
  const writeLater = async (chunk: Uint8Array) => {
    while (blocked()) await waitForCredit()
    if (closed) return
    available -= chunk.length
    send(chunk)
  }
  return {
    write: (chunk) => {
      if (closed) return undefined
      if (available <= 0) return writeLater(chunk)
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

/** Collects consumed bytes and returns credit in steps. */
export function createCreditReturn (stepBytes: number, send: (bytes: number) => void): (bytes: number) => void {
  let owed = 0
  return (bytes) => {
    owed += bytes
    if (owed < stepBytes) return
    send(owed)
    owed = 0
  }
}
