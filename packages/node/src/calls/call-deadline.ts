/** Cancels work when its caller goes or its time is up; says which of the two it was. */
export type CallDeadline = {
  /** Monotonic time of the deadline, in ms. */
  deadlineMs: number
  signal: AbortSignal
  remainingMs: () => number
  /** True when the deadline ended the work, false while it runs or when the caller went away. */
  expired: () => boolean
  /** Ends the work for another reason. */
  cancel: () => void
  /** Releases the timer. */
  done: () => void
}

// One reason for all calls: an abort without a reason builds an exception with its stack, which costs more than the rest of a short call.
const CANCELLED = new Error('the call was cancelled or its deadline has passed')

/** Starts a deadline; `parent` aborts it early. */
export function startDeadline (remainingMs: number, nowMs: () => number, parent?: AbortSignal): CallDeadline {
  const abort = new AbortController()
  const deadlineMs = nowMs() + remainingMs
  let expired = false
  const onParent = () => abort.abort(CANCELLED)
  const timer = setTimeout(() => {
    expired = true
    abort.abort(CANCELLED)
  }, Math.max(0, remainingMs))
  if (parent?.aborted === true) abort.abort(CANCELLED)
  else parent?.addEventListener('abort', onParent, { once: true })
  return {
    deadlineMs,
    signal: abort.signal,
    remainingMs: () => deadlineMs - nowMs(),
    expired: () => expired,
    cancel: () => abort.abort(CANCELLED),
    done: () => {
      clearTimeout(timer)
      parent?.removeEventListener('abort', onParent)
    }
  }
}
