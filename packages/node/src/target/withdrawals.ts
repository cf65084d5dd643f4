import type { Clock } from '@orioleslip/core'
import type { Announcement } from './local-target.js'

/** The instances that have withdrawn from this node, whether it had heard of them or not. */
export type Withdrawals = {
  /** Notes that an instance has withdrawn; `process` is its announcement, if this node has one. */
  add: (instance: string, process: Announcement | undefined) => void
  /** True if the announcement comes from a process that has withdrawn; a later process may have the name of its instance. */
  include: (announcement: Announcement) => boolean
}

type Withdrawal = { atMs: number, startedMs: number | undefined }

/** Time for which a withdrawal is remembered, in ms: announcements may arrive seconds late, and the process ends some seconds after it. */
const REMEMBERED_MS = 60_000
/** Number of remembered withdrawals; the oldest is forgotten first. */
const MAX_WITHDRAWALS = 64

/** Creates an empty memory. */
export function createWithdrawals (clock: Clock): Withdrawals {
  const byInstance = new Map<string, Withdrawal>()

  /** By its age, a process of which nothing was known when its instance withdrew had been started by then. */
  const hadStarted = ({ startedMs }: Announcement, { atMs }: Withdrawal): boolean =>
    startedMs === undefined || clock.wallMs() - startedMs >= clock.nowMs() - atMs

  return {
    add: (instance, process) => {
      byInstance.delete(instance)
      byInstance.set(instance, { atMs: clock.nowMs(), startedMs: process?.startedMs })
      if (byInstance.size > MAX_WITHDRAWALS) byInstance.delete(byInstance.keys().next().value!)
    },
    include: (announcement) => {
      const withdrawal = byInstance.get(announcement.instance)
      if (withdrawal === undefined || clock.nowMs() - withdrawal.atMs >= REMEMBERED_MS) return false
      if (withdrawal.startedMs === undefined || announcement.startedMs === undefined) return hadStarted(announcement, withdrawal)
      return announcement.startedMs <= withdrawal.startedMs
    }
  }
}
