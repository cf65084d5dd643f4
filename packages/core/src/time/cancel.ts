/** Tells work that it is cancelled. An `AbortSignal` is one, too. */
export type CancelSignal = {
  readonly aborted: boolean
  addEventListener: (type: 'abort', listener: () => void, options?: { once?: boolean }) => void
  removeEventListener: (type: 'abort', listener: () => void) => void
}

/** The side that cancels. */
export type Canceller = { signal: CancelSignal, abort: () => void }

/**
 * Creates a canceller. A call passes several of them between its layers, and an `AbortController` with its event target costs a tenth of a
 * short call; APIs outside this project that need an `AbortSignal` get one of their own.
 */
export function createCanceller (): Canceller {
  let listeners: Set<() => void> | undefined
  const signal = {
    aborted: false,
    addEventListener: (_type: 'abort', listener: () => void) => {
      if (signal.aborted) return
      listeners ??= new Set()
      listeners.add(listener)
    },
    removeEventListener: (_type: 'abort', listener: () => void) => { listeners?.delete(listener) }
  }
  return {
    signal,
    abort: () => {
      if (signal.aborted) return
      signal.aborted = true
      // A listener that another one removes meanwhile is not called, as with an AbortSignal.
      if (listeners !== undefined) for (const listener of listeners) listener()
      listeners = undefined
    }
  }
}
