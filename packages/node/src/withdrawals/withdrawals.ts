import type { Clock } from '@orioleslip/core'
import type { Announcement } from '../target/local-target.js'
import { covers, WITHDRAWAL_MEMORY_MS, type Withdrawal } from './withdrawal.js'

/** The instances that have withdrawn from this node, whether it had heard of them or not, or from a predecessor of its process. */
export type Withdrawals = {
  /** Notes a withdrawal. */
  add: (withdrawal: Withdrawal) => void
  /** True if the process that sent the announcement has withdrawn; a later process may have the name of its instance. */
  haveProcessOf: (announcement: Announcement) => boolean
  /** True if the announcement comes from before the withdrawal of its process, or from a process whose announcements are all void. */
  include: (announcement: Announcement) => boolean
}

type Entry = { atMs: number, startedMs: number | undefined, sequence: number | undefined }

/** Number of remembered withdrawals; the oldest is forgotten first. */
const MAX_WITHDRAWALS = 64

/** Creates an empty memory. */
export function createWithdrawals (clock: Clock): Withdrawals {
  const byInstance = new Map<string, Entry>()

  /** By its age, a process of which nothing was known when its instance withdrew had been started by then. */
  const hadStarted = ({ startedMs }: Announcement, { atMs }: Entry): boolean =>
    startedMs === undefined || clock.wallMs() - startedMs >= clock.nowMs() - atMs

  const entryOf = (announcement: Announcement): Entry | undefined => {
    const entry = byInstance.get(announcement.instance)
    if (entry === undefined || clock.nowMs() - entry.atMs >= WITHDRAWAL_MEMORY_MS) return undefined
    const isUnknown = entry.startedMs === undefined || announcement.startedMs === undefined
    const isIncluded = isUnknown ? hadStarted(announcement, entry) : announcement.startedMs! <= entry.startedMs!
    return isIncluded ? entry : undefined
  }

  return {
    add: ({ instance, startedMs, sequence, ageMs }) => {
      const known = byInstance.get(instance)
      if (known !== undefined && covers(known, { startedMs, sequence })) return
      byInstance.delete(instance)
      byInstance.set(instance, { atMs: clock.nowMs() - ageMs, startedMs, sequence })
      if (byInstance.size > MAX_WITHDRAWALS) byInstance.delete(byInstance.keys().next().value!)
    },
    haveProcessOf: (announcement) => entryOf(announcement) !== undefined,
    include: (announcement) => {
      const entry = entryOf(announcement)
      if (entry === undefined) return false
      const { startedMs, sequence } = entry
      if (sequence === undefined || (startedMs !== undefined && (announcement.startedMs ?? startedMs) < startedMs)) return true
      return announcement.state !== 'leaving' && (announcement.sequence ?? 0) <= sequence
    }
  }
}
