/** Aborts work when its caller disconnects or its deadline passes, and tells the two cases apart. */
export type CallDeadline = {
  /** Monotonic time of the deadline, in ms. */
  deadlineMs: number
  signal: AbortSignal
  remainingMs: () => number
  /** True when the deadline aborted the work; false while the work runs and when the caller disconnected. */
  expired: () => boolean
  /** Aborts the work for another reason. */
  cancel: () => void
  /** Clears the timer and the listener on the parent signal. */
  done: () => void
}

// Shared by all calls: aborting without a reason creates a DOMException with a stack trace, which costs more than the rest of a short call.
const CANCELLED = new Error('the call was cancelled or its deadline has passed')

/** Starts a deadline of `remainingMs`; an abort of `parent` aborts it early. */
export function startDeadline (remainingMs: number, nowMs: () => number, parent?: AbortSignal): CallDeadline {
  const abort = new AbortController()
  const deadlineMs = nowMs() + remainingMs
  let expired = false
  const onParentAbort = () => abort.abort(CANCELLED)
  const timer = setTimeout(() => {
    expired = true
    abort.abort(CANCELLED)
  }, Math.max(0, remainingMs))
  if (parent?.aborted === true) abort.abort(CANCELLED)
  else parent?.addEventListener('abort', onParentAbort, { once: true })
  return {
    deadlineMs,
    signal: abort.signal,
    remainingMs: () => deadlineMs - nowMs(),
    expired: () => expired,
    cancel: () => abort.abort(CANCELLED),
    done: () => {
      clearTimeout(timer)
      parent?.removeEventListener('abort', onParentAbort)
    }
  }
}
