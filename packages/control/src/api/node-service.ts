import { createCanceller, type CancelSignal, type Canceller, type Clock, type ReplicatedLog } from '@orioleslip/core'
import type { ListsChange } from '../lists/state-machine.js'
import type { NodeReports } from './node-reports.js'
import type { ConfirmCurrent } from './shared-confirm.js'

/** Request of a long poll. `revision` is the one in effect on the node, -1 before it has any. */
export type SinceInput = { vmId: string, revision: number, waitMs: number, callerAddress?: string | undefined }

/** Reply to a poll. `confirmed` says that no later revision than the one in the reply was in effect when the reply was made. */
export type SinceReply<Change = ListsChange> = { change: Change, confirmed: boolean, reason?: string }

export type NodeService<Change = ListsChange> = { since: (input: SinceInput, signal?: CancelSignal) => Promise<SinceReply<Change>> }

/** A replicated document with revisions; `since` gives the change from a node's revision to the one in effect. */
export type VersionedDocument<Change> = { revision: () => number, since: (revision: number) => Change }

/** Longest time that a poll is held, in ms. */
export const MAX_HOLD_MS = 5000
// A control VM that loses its quorum replies to the polls it holds within this time, and the nodes poll another one. One confirmation
// serves all held polls: with one for each, 770 polls out of step kept each of three control VMs at 32% of a core.
const CONFIRM_INTERVAL_MS = 1000
/**
 * Longest time, in ms, for which a process that has never confirmed its state holds a poll until it can. A poll refused at once would make
 * the node back off, and it would miss the moment at which a restarted fleet has a leader. Afterwards the node asks another control VM.
 */
const FIRST_CONFIRM_HOLD_MS = 400
/** Interval of the attempts to confirm the state for the first time, in ms. */
const FIRST_CONFIRM_INTERVAL_MS = 50

/** Creates the operations that nodes call. */
export function createNodeService<Change> (
  options: {
    lists: Pick<ReplicatedLog<unknown, unknown>, 'onApplied'>
    machine: VersionedDocument<Change>
    confirm: ConfirmCurrent
    reports: NodeReports
    clock: Clock
    /** Aborts when the process stops; held polls then get a reply. */
    stopping: CancelSignal
  }
): NodeService<Change> {
  const { lists, machine, confirm, reports, clock, stopping } = options
  const waiters = new Set<Canceller>()
  let revision = machine.revision()
  lists.onApplied(() => {
    if (machine.revision() === revision) return
    revision = machine.revision()
    wakeAll()
  })
  stopping.addEventListener('abort', wakeAll, { once: true })

  // True while the latest confirmation for the held polls succeeded and the next one is due within CONFIRM_INTERVAL_MS.
  let recentlyConfirmed = false

  // False until the first confirmation of this process: its peers may still be starting or electing a leader.
  let hasConfirmed = false
  let firstConfirmation: Promise<void> | undefined

  async function confirmAndNote (): ReturnType<ConfirmCurrent> {
    const res = await confirm()
    hasConfirmed ||= res.isOk()
    return res
  }

  /** Resolves with the first confirmation of this process or after the hold; all polls that wait for it share its attempts. */
  function awaitFirstConfirmation (): Promise<void> {
    firstConfirmation ??= tryToConfirm().finally(() => { firstConfirmation = undefined })
    return firstConfirmation
  }

  async function tryToConfirm (): Promise<void> {
    const endMs = clock.nowMs() + FIRST_CONFIRM_HOLD_MS
    while (!stopping.aborted && clock.nowMs() < endMs && (await confirmAndNote()).isErr()) {
      await clock.sleep(FIRST_CONFIRM_INTERVAL_MS, stopping)
    }
  }

  function wakeAll (): void {
    for (const waiter of waiters) waiter.abort()
  }

  /** Confirms the state at intervals for as long as polls are held; wakes all of them when this fails. */
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

  async function waitForChange (ms: number, signal: CancelSignal | undefined): Promise<void> {
    const waiter = createCanceller()
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
      let current = recentlyConfirmed ? undefined : await confirmAndNote()
      if (current?.isErr() === true && !hasConfirmed) {
        const waitMs = Math.min(FIRST_CONFIRM_HOLD_MS, untilMs - clock.nowMs())
        if (waitMs > 0) await Promise.race([awaitFirstConfirmation(), clock.sleep(waitMs, signal)])
        current = await confirmAndNote()
      }
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
      // The node switches to another control VM at once instead of polling a process that is about to close its listener.
      if (stopping.aborted) return { change, confirmed: false, reason: 'the control process is stopping' }
      return { change, confirmed: true }
    }
  }
}
