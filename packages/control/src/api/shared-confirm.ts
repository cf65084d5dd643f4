import type { NotCurrent, ReplicatedLog } from '@orioleslip/core'
import type { Result } from 'neverthrow'

export type ConfirmCurrent = () => Promise<Result<void, NotCurrent>>

/**
 * Shares confirmations among concurrent callers: a caller joins the confirmation that starts after its call, never the one
 * under way, whose answer may be older than the call. Hundreds of long polls then cost two confirmations at a time.
 */
export function createSharedConfirm (log: Pick<ReplicatedLog<unknown, unknown>, 'confirmCurrent'>): ConfirmCurrent {
  let running: Promise<unknown> | undefined
  let next: Promise<Result<void, NotCurrent>> | undefined

  return () => {
    next ??= (async () => {
      await running
      const started = Promise.resolve(log.confirmCurrent())
      running = started
      next = undefined
      return await started
    })()
    return next
  }
}
