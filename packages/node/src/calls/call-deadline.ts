import { createCanceller, type CancelSignal, type RefusalCode } from '@orioleslip/core'

/** Aborts work when its caller disconnects, its deadline passes or the drain of this node ends, and tells these cases apart. */
export type CallDeadline = {
  /** Monotonic time of the deadline, in ms. */
  deadlineMs: number
  signal: CancelSignal
  remainingMs: () => number
  /** True when the deadline aborted the work; false while the work runs and when the caller disconnected. */
  expired: () => boolean
  /** True when the end of the drain aborted the work. */
  drained: () => boolean
  /** Aborts the work for another reason. */
  cancel: () => void
  /** Clears the timer and the listeners on other signals. */
  done: () => void
}

/** What ends work early. */
export type EarlyEnds = {
  parent?: CancelSignal | undefined
  /** The end of this node's drain; it leaves work alone whose response has begun. */
  drain?: { ended: CancelSignal, hasResponse: () => boolean }
}

/** Starts a deadline of `remainingMs`. */
export function startDeadline (remainingMs: number, nowMs: () => number, { parent, drain }: EarlyEnds = {}): CallDeadline {
  const abort = createCanceller()
  const deadlineMs = nowMs() + remainingMs
  let expired = false
  let drained = false
  const timer = setTimeout(() => {
    expired = true
    abort.abort()
  }, Math.max(0, remainingMs))
  const onDrainEnded = () => {
    if (abort.signal.aborted || drain?.hasResponse() === true) return
    drained = true
    abort.abort()
  }
  if (parent?.aborted === true) abort.abort()
  else parent?.addEventListener('abort', abort.abort, { once: true })
  if (drain?.ended.aborted === true) onDrainEnded()
  else drain?.ended.addEventListener('abort', onDrainEnded, { once: true })
  return {
    deadlineMs,
    signal: abort.signal,
    remainingMs: () => deadlineMs - nowMs(),
    expired: () => expired,
    drained: () => drained,
    cancel: abort.abort,
    done: () => {
      clearTimeout(timer)
      parent?.removeEventListener('abort', abort.abort)
      drain?.ended.removeEventListener('abort', onDrainEnded)
    }
  }
}

/** Code of the refusal of a call that was cancelled while it ran; the call of a node that stops may be sent to another one. */
export function cancelCode (deadline: Pick<CallDeadline, 'drained'>): RefusalCode {
  return deadline.drained() ? 'target-lost' : 'deadline-exceeded'
}
