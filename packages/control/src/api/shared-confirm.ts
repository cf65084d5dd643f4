import type { NotCurrent } from '@orioleslip/core'
import type { Result } from 'neverthrow'

/** Confirms that this replica has applied everything accepted before the call; an error says why it can't. */
export type ConfirmCurrent = () => Promise<Result<void, NotCurrent>>

/**
 * Shares confirmations among concurrent callers. A caller joins the confirmation that starts after its call, never the one in
 * progress, whose result may be older than the call. So hundreds of long polls need at most two confirmations at a time.
 */
export function createSharedConfirm (confirm: () => PromiseLike<Result<void, NotCurrent>>): ConfirmCurrent {
  let running: Promise<unknown> | undefined
  let next: Promise<Result<void, NotCurrent>> | undefined

  return () => {
    next ??= (async () => {
      await running
      const started = Promise.resolve(confirm())
      running = started
      next = undefined
      return await started
    })()
    return next
  }
}
