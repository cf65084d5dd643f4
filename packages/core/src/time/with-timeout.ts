import { createCanceller, type CancelSignal } from './cancel.js'
import type { Clock } from './clock.js'

/** Returns the result of a promise, or undefined when it takes longer than `ms` or the signal aborts; the promise is not cancelled. */
export async function withTimeout<T extends object> (clock: Clock, ms: number, promise: PromiseLike<T>, signal?: CancelSignal):
Promise<T | undefined> {
  const timer = createCanceller()
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
