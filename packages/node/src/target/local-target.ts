import { z } from 'zod'
import type { PeerAddress } from '@orioleslip/core'
import { createTargetClient, type TargetClient, type TargetClientOptions } from './target-client.js'

/** Body of a target's announcement, `PUT /.well-known/orioleslip/target`. */
export const announcementSchema = z.strictObject({
  service: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'use 1 to 64 letters, digits, ".", "_" or "-"'),
  /** Port of the target on this VM. */
  port: z.number().int().min(1).max(65535),
  /** Calls that the target can run at once. */
  capacity: z.number().int().min(1).max(100_000),
  state: z.enum(['starting', 'ready', 'leaving']),
  /** Chosen by the target at its start; a new value tells that the target process was replaced. */
  instance: z.string().min(1).max(64),
  /** Wall-clock start of the target process, in ms; an instance name may be used again by a later start. */
  startedMs: z.number().int().min(0).optional(),
  /** Grows with each announcement of one start, so that a late one is recognised. */
  sequence: z.number().int().min(0).optional()
})
export type Announcement = z.infer<typeof announcementSchema>

/** The target beside this node. */
export type LocalTarget = {
  /** False when the announcement is older than the one in effect and was ignored. */
  announce: (announcement: Announcement) => boolean
  /** Marks the instance as leaving, whatever late announcements of it say; false when another one is in effect. */
  withdraw: (instance: string) => boolean
  /** Undefined until the first announcement. */
  current: () => { announcement: Announcement, client: TargetClient } | undefined
  /** Called when the target process starts or is replaced. */
  onStarted: (listener: (capacity: number) => void) => void
}

/** Connections to the target per announced slot; the learnt limit may rise to twice the announced capacity. */
const CONNECTIONS_PER_SLOT = 2

/** Keeps the announced target and its connections; `host` is the address of this VM. */
export function createLocalTarget (host: string, options: TargetClientOptions = {}): LocalTarget {
  let entry: { announcement: Announcement, client: TargetClient } | undefined
  let started: (capacity: number) => void = () => {}
  const replace = (announcement: Announcement) => {
    const address: PeerAddress = { host, port: announcement.port }
    const old = entry?.client
    entry = { announcement, client: createTargetClient(address, announcement.capacity * CONNECTIONS_PER_SLOT, options) }
    // Calls in flight at the old process end by themselves; its pool closes after them.
    old?.close().catch(() => undefined)
    started(announcement.capacity)
  }
  return {
    announce: (announcement) => {
      const known = entry?.announcement
      if (known !== undefined && isOlder(announcement, known)) return false
      if (known === undefined || entry === undefined) {
        replace(announcement)
        return true
      }
      const isOther = known.instance !== announcement.instance || known.startedMs !== announcement.startedMs
      if (isOther || known.port !== announcement.port || known.capacity !== announcement.capacity) replace(announcement)
      else entry.announcement = announcement
      return true
    },
    withdraw: (instance) => {
      if (entry?.announcement.instance !== instance) return false
      entry.announcement = { ...entry.announcement, state: 'leaving', sequence: Number.MAX_SAFE_INTEGER }
      return true
    },
    current: () => entry,
    onStarted: (listener) => { started = listener }
  }
}

/** True for an announcement of an earlier start, or a late one of the same start. */
function isOlder (next: Announcement, known: Announcement): boolean {
  if (next.startedMs !== undefined && known.startedMs !== undefined && next.startedMs !== known.startedMs) {
    return next.startedMs < known.startedMs
  }
  return next.instance === known.instance && (next.sequence ?? Infinity) <= (known.sequence ?? -1)
}
