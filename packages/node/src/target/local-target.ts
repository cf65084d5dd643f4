import { z } from 'zod'
import { fnv1a, systemClock, type PeerAddress } from '@orioleslip/core'
import { createTargetClient, type TargetClient, type TargetClientOptions } from './target-client.js'
import { createWithdrawals } from '../withdrawals/withdrawals.js'
import { withdrawalOf, type Withdrawal } from '../withdrawals/withdrawal.js'

/** Body of a target's announcement, `PUT /.well-known/orioleslip/target`. */
export const announcementSchema = z.strictObject({
  service: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'use 1 to 64 letters, digits, ".", "_" or "-"'),
  /** Port of the target on this VM. */
  port: z.number().int().min(1).max(65535),
  /** Number of calls that the target can run concurrently. */
  capacity: z.number().int().min(1).max(100_000),
  state: z.enum(['starting', 'ready', 'leaving']),
  /** Chosen by the target at its start; a new value means that the target process was replaced. */
  instance: z.string().min(1).max(64),
  /** Wall-clock time at which the target process started, in ms; distinguishes processes that reuse an instance name. */
  startedMs: z.number().int().min(0).optional(),
  /** Increases with each announcement of one process, so that an announcement that arrives late is recognised. */
  sequence: z.number().int().min(0).optional()
})
export type Announcement = z.infer<typeof announcementSchema>

/** The target on the VM of this node. */
export type LocalTarget = {
  /** Applies an announcement; false if it is older than the current one, or its process has withdrawn, and it was ignored. */
  announce: (announcement: Announcement) => boolean
  /** Marks the instance as leaving, whatever its late announcements say, the first ones included; false if it is not the current one. */
  withdraw: (instance: string) => boolean
  /** Takes over a withdrawal from a predecessor of this node's process. */
  inherit: (withdrawal: Withdrawal) => void
  /** True if the process that sent the announcement said to a predecessor of this node's process that it leaves. */
  leftPredecessor: (announcement: Announcement) => boolean
  /** Id of the current process if it has withdrawn; undefined otherwise. */
  leavingProcess: () => number | undefined
  /** Marks the process as ended by itself; false if another one is current. */
  markEnded: (process: Announcement) => boolean
  /** True if the process was marked as ended. */
  hasEnded: (process: Announcement) => boolean
  /** Takes back the mark of the current process, which has turned out to be running. */
  markRunning: () => void
  /** Returns the current announcement and the client of the target; undefined without a target process. */
  current: () => { announcement: Announcement, client: TargetClient } | undefined
  /** Sets the listener that is called when the target process starts, is replaced, or announces another port or capacity. */
  onStarted: (listener: (capacity: number, sameProcess: boolean) => void) => void
}

/** Connections to the target per announced slot; the adaptive concurrency limit may rise to twice the announced capacity. */
const CONNECTIONS_PER_SLOT = 2

/** Sequence of a process that has withdrawn, so that none of its announcements is newer. */
const WITHDRAWN_SEQUENCE = Number.MAX_SAFE_INTEGER

/** Creates the holder of the announced target and its connections; `host` is the address of this VM. */
export function createLocalTarget (host: string, options: TargetClientOptions = {}): LocalTarget {
  let active: { announcement: Announcement, client: TargetClient } | undefined
  let ended: Announcement | undefined
  const withdrawals = createWithdrawals(options.clock ?? systemClock)
  let started: (capacity: number, sameProcess: boolean) => void = () => {}
  const hasEnded = (process: Announcement) => ended !== undefined && isSameProcess(ended, process)
  const replace = (announcement: Announcement) => {
    const address: PeerAddress = { host, port: announcement.port }
    const old = active
    active = { announcement, client: createTargetClient(address, announcement.capacity * CONNECTIONS_PER_SLOT, options) }
    // The old pool closes when the calls in flight at the old process have ended.
    old?.client.close().catch(() => undefined)
    started(announcement.capacity, old !== undefined && isSameProcess(old.announcement, announcement))
  }
  return {
    announce: (announcement) => {
      const previous = active?.announcement
      if (previous !== undefined && isOlder(announcement, previous)) return false
      if (withdrawals.include(announcement)) return false
      if (previous === undefined || active === undefined) {
        replace(announcement)
        return true
      }
      const isSameClient = previous.port === announcement.port && previous.capacity === announcement.capacity
      if (isSameClient && isSameProcess(previous, announcement)) active.announcement = announcement
      else replace(announcement)
      return true
    },
    withdraw: (instance) => {
      const announced = active?.announcement.instance === instance ? active : undefined
      withdrawals.add(withdrawalOf({ instance, startedMs: announced?.announcement.startedMs }))
      if (announced === undefined) return false
      announced.announcement = { ...announced.announcement, state: 'leaving', sequence: WITHDRAWN_SEQUENCE }
      return true
    },
    inherit: withdrawals.add,
    leftPredecessor: withdrawals.haveProcessOf,
    leavingProcess: () => active?.announcement.sequence === WITHDRAWN_SEQUENCE ? processIdOf(active.announcement) : undefined,
    markEnded: (process) => {
      if (active === undefined || !isSameProcess(active.announcement, process)) return false
      ended = process
      return true
    },
    hasEnded,
    markRunning: () => { ended = undefined },
    current: () => active !== undefined && hasEnded(active.announcement) ? undefined : active,
    onStarted: (listener) => { started = listener }
  }
}

/** True if both announcements come from one target process. */
export function isSameProcess (a: Announcement, b: Announcement): boolean {
  return a.instance === b.instance && a.startedMs === b.startedMs
}

/** Identifies a target process in messages between nodes. */
export function processIdOf ({ instance, startedMs }: Announcement): number {
  return fnv1a(`${instance} ${startedMs ?? ''}`)
}

/** True if `next` comes from an earlier process, or was sent before `current` by the same process. */
function isOlder (next: Announcement, current: Announcement): boolean {
  if (next.startedMs !== undefined && current.startedMs !== undefined && next.startedMs !== current.startedMs) {
    return next.startedMs < current.startedMs
  }
  // A process that says when it started always does, so that the other one comes from another writer.
  if (next.instance === current.instance && next.startedMs !== current.startedMs) return next.startedMs === undefined
  return next.instance === current.instance && (next.sequence ?? Infinity) <= (current.sequence ?? -1)
}
