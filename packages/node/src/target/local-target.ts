import { z } from 'zod'
import type { PeerAddress } from '@orioleslip/core'
import { createTargetClient, type TargetClient } from './target-client.js'

/** Body of a target's announcement, `PUT /.well-known/orioleslip/target`. */
export const announcementSchema = z.strictObject({
  service: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'use 1 to 64 letters, digits, ".", "_" or "-"'),
  /** Port of the target on this VM. */
  port: z.number().int().min(1).max(65535),
  /** Calls that the target can run at once. */
  capacity: z.number().int().min(1).max(100_000),
  state: z.enum(['starting', 'ready', 'leaving']),
  /** Chosen by the target at its start; a new value tells that the target process was replaced. */
  instance: z.string().min(1).max(64)
})
export type Announcement = z.infer<typeof announcementSchema>

/** The target beside this node. */
export type LocalTarget = {
  announce: (announcement: Announcement) => void
  /** Undefined until the first announcement. */
  current: () => { announcement: Announcement, client: TargetClient } | undefined
  /** Called when the target process starts or is replaced. */
  onStarted: (listener: (capacity: number) => void) => void
}

/** Connections to the target per announced slot; the learnt limit may rise to twice the announced capacity. */
const CONNECTIONS_PER_SLOT = 2

/** Keeps the announced target and its connections; `host` is the address of this VM. */
export function createLocalTarget (host: string): LocalTarget {
  let entry: { announcement: Announcement, client: TargetClient } | undefined
  let started: (capacity: number) => void = () => {}
  const replace = (announcement: Announcement) => {
    const address: PeerAddress = { host, port: announcement.port }
    const old = entry?.client
    entry = { announcement, client: createTargetClient(address, announcement.capacity * CONNECTIONS_PER_SLOT) }
    // Calls in flight at the old process end by themselves; its pool closes after them.
    old?.close().catch(() => undefined)
    started(announcement.capacity)
  }
  return {
    announce: (announcement) => {
      const known = entry?.announcement
      if (known === undefined || entry === undefined) return replace(announcement)
      if (known.instance !== announcement.instance || known.port !== announcement.port || known.capacity !== announcement.capacity) {
        return replace(announcement)
      }
      entry.announcement = announcement
    },
    current: () => entry,
    onStarted: (listener) => { started = listener }
  }
}
