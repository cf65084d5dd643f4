import type { CancelSignal } from '@orioleslip/core'

/** Passes suspect calls to the target one at a time, so that a crash of the target shows which of them is to blame. */
export type SuspectLane = {
  /**
   * Resolves when the call may run, with the function to call at its end. A call that is no longer suspect passes at once. Undefined when
   * `signal` aborts first or too many calls wait.
   */
  enter: (isSuspect: () => boolean, signal: CancelSignal) => Promise<(() => void) | undefined>
  /** Passes the waiting calls that are no longer suspect. */
  recheck: () => void
}

/** Number of calls that may wait; further ones are refused. */
const MAX_WAITING = 64

type Waiter = { isSuspect: () => boolean, resolve: (release: (() => void) | undefined) => void }

/** Creates an empty lane. */
export function createSuspectLane (): SuspectLane {
  const waiting = new Set<Waiter>()
  let busy = false

  const pass = (waiter: Waiter) => {
    waiting.delete(waiter)
    if (!waiter.isSuspect()) return waiter.resolve(() => {})
    busy = true
    let released = false
    waiter.resolve(() => {
      if (released) return
      released = true
      busy = false
      passNext()
    })
  }
  const passNext = () => {
    for (const waiter of waiting) {
      if (busy && waiter.isSuspect()) continue
      pass(waiter)
    }
  }

  return {
    enter: (isSuspect, signal) => new Promise((resolve) => {
      if (signal.aborted || waiting.size >= MAX_WAITING) return resolve(undefined)
      const onAbort = () => { if (waiting.delete(waiter)) resolve(undefined) }
      const waiter: Waiter = {
        isSuspect,
        resolve: (release) => {
          signal.removeEventListener('abort', onAbort)
          resolve(release)
        }
      }
      signal.addEventListener('abort', onAbort, { once: true })
      waiting.add(waiter)
      if (!busy) passNext()
    }),
    recheck: passNext
  }
}
