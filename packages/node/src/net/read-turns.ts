/** Lets connections whose bytes take long to handle be read one after the other, so that others get their share of the event loop. */
export type ReadTurns = {
  /** Calls `resume` once it is the reader's turn; readers wait in order, and each turn of the event loop has one. */
  wait: (resume: () => void) => void
}

/** Creates the order without readers. */
export function createReadTurns (): ReadTurns {
  const waiting: Array<() => void> = []
  const next = () => {
    waiting.shift()?.()
    if (waiting.length > 0) setImmediate(next)
  }
  return {
    wait: (resume) => {
      waiting.push(resume)
      if (waiting.length === 1) setImmediate(next)
    }
  }
}

/** The order of this process. */
export const processReadTurns = createReadTurns()
