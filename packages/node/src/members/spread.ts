import type { Clock } from '@orioleslip/core'
import { sendBudget } from './timing.js'

type Pending = { vmId: string, full: boolean, urgent: boolean, sends: number }

/** Updates that still have to be passed on, at most one per member. */
export type Spread = {
  /** Queues the current state of a member; `full` sends the record, `urgent` puts it first. */
  add: (vmId: string, options: { full: boolean, urgent: boolean }) => void
  /** Counts an update that came in again: others spread it too. */
  repeated: (vmId: string) => void
  /** Stops passing on the state of a member. */
  drop: (vmId: string) => void
  /** Takes queued members in order until `take` returns false, and counts `copies` sends for each. */
  pick: (copies: number, take: (vmId: string, full: boolean) => boolean) => void
  waiting: () => 'urgent' | 'normal' | undefined
}

/** Creates the queue of updates; each is dropped after the send budget for `members()`. */
export function createSpread (members: () => number): Spread {
  const queue = new Map<string, Pending>()
  const count = (pending: Pending, sends: number) => {
    pending.sends += sends
    if (pending.sends >= sendBudget(members(), pending.urgent)) queue.delete(pending.vmId)
  }
  return {
    add: (vmId, { full, urgent }) => {
      const old = queue.get(vmId)
      queue.set(vmId, { vmId, full: full || (old?.full ?? false), urgent: urgent || (old?.urgent ?? false), sends: 0 })
    },
    repeated: (vmId) => {
      const pending = queue.get(vmId)
      if (pending !== undefined) count(pending, 1)
    },
    drop: (vmId) => { queue.delete(vmId) },
    pick: (copies, take) => {
      // Fewest sends first: under many changes each gets its first copies out before any gets its last.
      const ordered = [...queue.values()].sort((a, b) => Number(b.urgent) - Number(a.urgent) || a.sends - b.sends)
      for (const pending of ordered) {
        if (!take(pending.vmId, pending.full)) return
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

/** Allowance of bytes: `level` may go below zero after a send and recovers at the sustained rate. */
export type ByteBudget = { level: () => number, spend: (bytes: number) => void }

/** Creates a full allowance. */
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
