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

/** Starts a deadline; `parent` aborts it early. */
export function startDeadline (remainingMs: number, nowMs: () => number, parent?: AbortSignal): CallDeadline {
  const abort = new AbortController()
  const deadlineMs = nowMs() + remainingMs
  let expired = false
  const onParent = () => abort.abort()
  const timer = setTimeout(() => {
    expired = true
    abort.abort()
  }, Math.max(0, remainingMs))
  if (parent?.aborted === true) abort.abort()
  else parent?.addEventListener('abort', onParent, { once: true })
  return {
    deadlineMs,
    signal: abort.signal,
    remainingMs: () => deadlineMs - nowMs(),
    expired: () => expired,
    cancel: () => abort.abort(),
    done: () => {
      clearTimeout(timer)
      parent?.removeEventListener('abort', onParent)
    }
  }
}
