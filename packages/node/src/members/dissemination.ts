import type { Clock } from '@orioleslip/core'
import { sendBudget } from './timing.js'

type Pending = { vmId: string, full: boolean, urgent: boolean, sends: number }

/** Queue of updates to disseminate, at most one per member. */
export type Dissemination = {
  /** Queues the current state of a member; `full` includes the record, `urgent` puts it first. */
  add: (vmId: string, options: { full: boolean, urgent: boolean }) => void
  /** Counts a received duplicate of an update as one send, because another member has disseminated it. */
  countDuplicate: (vmId: string) => void
  /** Removes a member from the queue. */
  drop: (vmId: string) => void
  /** Calls `tryTake` for the queued members in order until it returns false, and counts `copies` sends for each one taken. */
  forEachDue: (copies: number, tryTake: (vmId: string, full: boolean) => boolean) => void
  waiting: () => 'urgent' | 'normal' | undefined
}

/** Creates the queue; each update is removed after the number of sends that `sendBudget` gives for `members()`. */
export function createDissemination (members: () => number): Dissemination {
  const queue = new Map<string, Pending>()
  const count = (pending: Pending, sends: number) => {
    pending.sends += sends
    if (pending.sends >= sendBudget(members(), pending.urgent)) queue.delete(pending.vmId)
  }
  return {
    add: (vmId, { full, urgent }) => {
      const existing = queue.get(vmId)
      queue.set(vmId, { vmId, full: full || (existing?.full ?? false), urgent: urgent || (existing?.urgent ?? false), sends: 0 })
    },
    countDuplicate: (vmId) => {
      const pending = queue.get(vmId)
      if (pending !== undefined) count(pending, 1)
    },
    drop: (vmId) => { queue.delete(vmId) },
    forEachDue: (copies, tryTake) => {
      // Fewest sends first: with many changes, each is sent a first time before any is sent a last time.
      const ordered = [...queue.values()].sort((a, b) => Number(b.urgent) - Number(a.urgent) || a.sends - b.sends)
      for (const pending of ordered) {
        if (!tryTake(pending.vmId, pending.full)) return
        count(pending, copies)
      }
    },
    waiting: () => {
      if (queue.size === 0) return undefined
      for (const pending of queue.values()) if (pending.urgent) return 'urgent'
      return 'normal'
    }
  }
}

/** Token bucket of bytes: `level` may fall below zero after a send and recovers at the sustained rate. */
export type ByteBudget = { level: () => number, spend: (bytes: number) => void }

/** Creates a full byte budget. */
export function createByteBudget (clock: Clock, bytesPerSecond: number, burstBytes: number): ByteBudget {
  let tokens = burstBytes
  let atMs = clock.nowMs()
  const level = () => {
    const nowMs = clock.nowMs()
    tokens = Math.min(burstBytes, tokens + (nowMs - atMs) / 1000 * bytesPerSecond)
    atMs = nowMs
    return tokens
  }
  return { level, spend: (bytes) => { tokens = level() - bytes } }
}
