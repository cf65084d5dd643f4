import type { CancelSignal } from '@orioleslip/core'

/** Resolves with the result of a promise, or with undefined if the signal aborts first. */
export function untilAborted<T> (promise: Promise<T>, signal: CancelSignal): Promise<T | undefined> {
  if (signal.aborted) return Promise.resolve(undefined)
  return new Promise((resolve, reject) => {
    const onAbort = () => resolve(undefined)
    signal.addEventListener('abort', onAbort, { once: true })
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort))
  })
}
