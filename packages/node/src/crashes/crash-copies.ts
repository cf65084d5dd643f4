import { z } from 'zod'
import type { Clock, MembersView } from '@orioleslip/core'
import { createAskPeer } from '../links/ask-peer.js'
import type { PeerPool } from '../links/pool.js'
import { copyHolders } from '../members/copy-holders.js'
import { createCrashTable, crashSchema, crashTableSchema, fingerprintSchema, type Crash, type CrashTable, type CrashTableContent } from './crash-table.js'

/** Kinds of requests between nodes about the crashes of a service that is not beside the receiver. */
const COPY = 'crash-copy'
const CLEARED = 'crash-copy-cleared'
const READ = 'crash-copies-of'

/** Number of nodes that keep a copy, and number that a node asks when it has started: nodes that have just started too may come before. */
const COPIES = 8
const SOURCES = 16
/** Longest wait for another node, in ms; callers wait for the report of a crash, and a target for the end of the reading. */
const PEER_TIMEOUT_MS = 250
/** Number of services of which a node keeps copies; the one whose last report is the oldest goes first. */
const MAX_SERVICES = 16

const serviceSchema = z.string().min(1).max(256)
const copySchema = z.strictObject({ service: serviceSchema, crash: crashSchema })
const clearedSchema = z.strictObject({ service: serviceSchema, fingerprint: fingerprintSchema })

/** Keeps what the nodes of a service know of crashes at nodes of other services, as all of the former may end at once. */
export type CrashCopies = {
  /** Resolves when the reachable ones of these nodes know of the crash, or after a limited time. */
  crashed: (service: string, crash: Crash) => Promise<void>
  cleared: (service: string, fingerprint: number) => void
  /** Reads what other nodes keep for the service. */
  read: (service: string) => Promise<CrashTableContent[]>
  /** Handles a request of another node; undefined for one of another kind. */
  handle: (kind: string, body: unknown) => unknown
}

/** Dependencies of `createCrashCopies`. */
export type CrashCopiesOptions = {
  members: Pick<MembersView, 'self' | 'all'>
  request: PeerPool['request']
  clock: Clock
}

/** Creates the copies; the nodes that hold those of a service follow from its name. */
export function createCrashCopies ({ members, request, clock }: CrashCopiesOptions): CrashCopies {
  /** By service, the last changed one last. */
  const tables = new Map<string, CrashTable>()
  const ask = createAskPeer(clock, request, PEER_TIMEOUT_MS)
  const askHolders = (service: string, count: number, kind: string, body: unknown): Promise<unknown[]> =>
    Promise.all(copyHolders(members, service, count).map((holder) => ask(holder, kind, body)))

  const record = (service: string, crash: Crash) => {
    const table = tables.get(service) ?? createCrashTable(clock)
    tables.delete(service)
    tables.set(service, table)
    if (tables.size > MAX_SERVICES) tables.delete(tables.keys().next().value!)
    table.record(crash)
  }

  return {
    crashed: async (service, crash) => { await askHolders(service, COPIES, COPY, { service, crash }) },
    cleared: (service, fingerprint) => { askHolders(service, COPIES, CLEARED, { service, fingerprint }) },
    read: async (service) => {
      const replies = await askHolders(service, SOURCES, READ, service)
      return replies.flatMap((reply) => crashTableSchema.safeParse(reply).data ?? [])
    },
    handle: (kind, body) => {
      switch (kind) {
        case COPY: {
          const copy = copySchema.safeParse(body)
          if (copy.success) record(copy.data.service, copy.data.crash)
          return copy.success
        }
        case CLEARED: {
          const cleared = clearedSchema.safeParse(body)
          if (cleared.success) tables.get(cleared.data.service)?.clear(cleared.data.fingerprint)
          return cleared.success
        }
        case READ: {
          const service = serviceSchema.safeParse(body)
          return (service.success ? tables.get(service.data)?.export() : undefined) ?? null
        }
        default: return undefined
      }
    }
  }
}
