import type { Clock, ReplicatedLog } from '@orioleslip/core'
import type { ListsChange } from '../lists/state-machine.js'
import type { NodeReports } from './node-reports.js'
import type { ConfirmCurrent } from './shared-confirm.js'

/** One long poll. `revision` is the one in effect on the node, -1 before it has any. */
export type SinceInput = { vmId: string, revision: number, waitMs: number, callerAddress?: string | undefined }

/** Answer to a poll. `confirmed` says that no revision later than the answered one was in effect when the poll was answered. */
export type SinceAnswer<Change = ListsChange> = { change: Change, confirmed: boolean, reason?: string }

export type NodeService<Change = ListsChange> = { since: (input: SinceInput, signal?: AbortSignal) => Promise<SinceAnswer<Change>> }

/** The replicated document that nodes follow. */
export type VersionedDocument<Change> = { revision: () => number, since: (revision: number) => Change }

/** Longest time that a poll is held, in ms. */
export const MAX_HOLD_MS = 5000
// A control VM that loses its quorum answers the polls it holds within this time, and the nodes move on. One check serves all held
// polls: with a check for each, 770 polls out of step kept each of three control VMs at 32% of a core.
const CONFIRM_INTERVAL_MS = 1000

/** Creates the operations that nodes call. */
export function createNodeService<Change> (
  options: {
    lists: Pick<ReplicatedLog<unknown, unknown>, 'onApplied'>
    machine: VersionedDocument<Change>
    confirm: ConfirmCurrent
    reports: NodeReports
    clock: Clock
    /** Aborts when the process stops; held polls are then answered. */
    stopping: AbortSignal
  }
): NodeService<Change> {
  const { lists, machine, confirm, reports, clock, stopping } = options
  const waiters = new Set<AbortController>()
  let revision = machine.revision()
  lists.onApplied(() => {
    if (machine.revision() === revision) return
    revision = machine.revision()
    wakeAll()
  })
  stopping.addEventListener('abort', wakeAll, { once: true })

  // True while the latest check of the held polls succeeded and the next one is due within RECHECK_MS.
  let recentlyConfirmed = false

  function wakeAll (): void {
    for (const waiter of waiters) waiter.abort()
  }

  /** Checks for as long as polls are held. */
  async function confirmForHeldPolls (): Promise<void> {
    if (recentlyConfirmed) return
    recentlyConfirmed = true
    while (recentlyConfirmed && waiters.size > 0 && !stopping.aborted) {
      await clock.sleep(CONFIRM_INTERVAL_MS, stopping)
      recentlyConfirmed = waiters.size > 0 && (await confirm()).isOk()
    }
    recentlyConfirmed = false
    wakeAll()
  }

  async function waitForChange (ms: number, signal: AbortSignal | undefined): Promise<void> {
    const waiter = new AbortController()
    waiters.add(waiter)
    const cancel = () => waiter.abort()
    signal?.addEventListener('abort', cancel, { once: true })
    confirmForHeldPolls()
    await clock.sleep(ms, waiter.signal)
    signal?.removeEventListener('abort', cancel)
    waiters.delete(waiter)
  }

  return {
    since: async (input, signal) => {
      reports.report(input.vmId, input.revision, input.callerAddress)
      const untilMs = clock.nowMs() + Math.min(input.waitMs, MAX_HOLD_MS)
      let current = recentlyConfirmed ? undefined : await confirm()
      for (;;) {
        const leftMs = untilMs - clock.nowMs()
        const hasNewRevision = machine.revision() > input.revision
        if (current?.isErr() === true || leftMs <= 0 || signal?.aborted === true || stopping.aborted || hasNewRevision) break
        await waitForChange(leftMs, signal)
        current = await confirm()
      }
      current ??= await confirm()
      const change = machine.since(input.revision)
      if (current.isErr()) return { change, confirmed: false, reason: current.error.message }
      // The node moves on at once instead of polling a process that is about to close its listener.
      if (stopping.aborted) return { change, confirmed: false, reason: 'the control process is stopping' }
      return { change, confirmed: true }
    }
  }
}
