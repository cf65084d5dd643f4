import { createCanceller, type CancelSignal } from '@orioleslip/core'

/** Aborts work when its caller disconnects or its deadline passes, and tells the two cases apart. */
export type CallDeadline = {
  /** Monotonic time of the deadline, in ms. */
  deadlineMs: number
  signal: CancelSignal
  remainingMs: () => number
  /** True when the deadline aborted the work; false while the work runs and when the caller disconnected. */
  expired: () => boolean
  /** Aborts the work for another reason. */
  cancel: () => void
  /** Clears the timer and the listener on the parent signal. */
  done: () => void
}

/** Starts a deadline of `remainingMs`; an abort of `parent` aborts it early. */
export function startDeadline (remainingMs: number, nowMs: () => number, parent?: CancelSignal): CallDeadline {
  const abort = createCanceller()
  const deadlineMs = nowMs() + remainingMs
  let expired = false
  const timer = setTimeout(() => {
    expired = true
    abort.abort()
  }, Math.max(0, remainingMs))
  if (parent?.aborted === true) abort.abort()
  else parent?.addEventListener('abort', abort.abort, { once: true })
  return {
    deadlineMs,
    signal: abort.signal,
    remainingMs: () => deadlineMs - nowMs(),
    expired: () => expired,
    cancel: abort.abort,
    done: () => {
      clearTimeout(timer)
      parent?.removeEventListener('abort', abort.abort)
    }
  }
}
