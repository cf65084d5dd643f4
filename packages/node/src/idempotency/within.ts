import type { Clock } from '@orioleslip/core'

/** Result of a promise, or undefined when it takes longer than `ms` or the signal aborts; the promise itself continues. */
export async function within<T extends object> (clock: Clock, ms: number, promise: PromiseLike<T>, signal?: AbortSignal):
Promise<T | undefined> {
  const timer = new AbortController()
  const stop = () => timer.abort()
  signal?.addEventListener('abort', stop, { once: true })
  if (signal?.aborted) stop()
  try {
    return await Promise.race([promise, clock.sleep(Math.max(0, ms), timer.signal).then(() => undefined)])
  } finally {
    stop()
    signal?.removeEventListener('abort', stop)
  }
}

/** Creates a growing delay in ms: doubles from `firstMs` to `maxMs`. */
export function createBackoff (firstMs: number, maxMs: number): () => number {
  let nextMs = firstMs
  return () => {
    const ms = nextMs
    nextMs = Math.min(maxMs, nextMs * 2)
    return ms
  }
}
