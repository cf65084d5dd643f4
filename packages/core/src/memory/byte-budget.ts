/** Limits the bytes that are in work at once. */
export type ByteBudget = {
  /** Runs a task that needs `bytes` once they fit, in the order of the calls. A task above the whole limit runs alone. */
  run: <T>(bytes: number, task: () => Promise<T>) => Promise<T>
}

/** Creates a budget of `limitBytes`. */
export function createByteBudget (limitBytes: number): ByteBudget {
  let usedBytes = 0
  const waiting: Array<{ bytes: number, admit: () => void }> = []

  const admitWaiting = () => {
    for (;;) {
      const next = waiting[0]
      if (next === undefined || (usedBytes > 0 && usedBytes + next.bytes > limitBytes)) return
      waiting.shift()
      usedBytes += next.bytes
      next.admit()
    }
  }

  return {
    run: async (bytes, task) => {
      await new Promise<void>((resolve) => {
        waiting.push({ bytes, admit: resolve })
        admitWaiting()
      })
      try {
        return await task()
      } finally {
        usedBytes -= bytes
        admitWaiting()
      }
    }
  }
}
