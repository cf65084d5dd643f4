import { z } from 'zod'
import type { MemberRecord, MembersView } from '@orioleslip/core'
import type { PeerPool } from '../links/pool.js'
import { MAX_BLOCKED, MAX_CRASHES, MAX_FINGERPRINTS_PER_CRASH, type Crash, type CrashTable, type CrashTableContent } from './crash-table.js'

/** Kinds of requests between nodes about crashes. */
const CRASH = 'crash'
const CLEARED = 'crash-cleared'
const TABLE = 'crash-table'

const uint = z.number().int().min(0)
const crashSchema = z.strictObject({ processId: uint, fingerprints: z.array(uint).max(MAX_FINGERPRINTS_PER_CRASH) })
const tableSchema = z.strictObject({
  crashes: z.array(crashSchema).max(MAX_CRASHES),
  blocked: z.array(z.strictObject({ fingerprint: uint, leftMs: z.number().min(0) })).max(MAX_BLOCKED)
})

/** Longest wait until the nodes of the service know of a crash, in ms; a caller may retry the call afterwards. */
const REPORT_TIMEOUT_MS = 250
/** Longest wait for the table of another node, in ms. */
const TABLE_TIMEOUT_MS = 1000
/** Number of nodes that a node asks for their tables when it starts. */
const TABLE_SOURCES = 2

/** Sends what this node learns of crashes to the nodes of the same service, and receives it from them. */
export type CrashReports = {
  /** Resolves when each reachable node of the service knows of the crash. */
  crashed: (service: string, crash: Crash) => Promise<void>
  cleared: (service: string, fingerprint: number) => void
  /** Takes over what other nodes of the service know, once. */
  takeOver: (service: string) => void
  /** Handles a request of another node; undefined for one of another kind. */
  handle: (kind: string, body: unknown) => unknown
}

/** Dependencies of `createCrashReports`. */
export type CrashReportsOptions = {
  members: Pick<MembersView, 'self' | 'ofService'>
  request: PeerPool['request']
  table: Pick<CrashTable, 'record' | 'clear' | 'export' | 'merge'>
  /** Called after this node has learnt something from another one. */
  onChange: () => void
}

/** Creates the reports. Only nodes beside targets of the service need them, as each call passes one of these. */
export function createCrashReports ({ members, request, table, onChange }: CrashReportsOptions): CrashReports {
  let hasTakenOver = false

  const peersOf = (service: string): MemberRecord[] => members.ofService(service)
    .filter(({ record, liveness }) => liveness === 'alive' && record.vmId !== members.self().vmId)
    .map(({ record }) => record)
  const send = ({ host, peerPort }: MemberRecord, kind: string, body: unknown, timeoutMs: number): Promise<unknown> =>
    request({ host, port: peerPort }, kind, body, timeoutMs).catch(() => undefined)

  const takeOverFrom = async (peer: MemberRecord) => {
    const content = tableSchema.safeParse(await send(peer, TABLE, null, TABLE_TIMEOUT_MS))
    if (!content.success) return
    table.merge(content.data)
    onChange()
  }

  return {
    crashed: async (service, crash) => {
      await Promise.all(peersOf(service).map((peer) => send(peer, CRASH, crash, REPORT_TIMEOUT_MS)))
    },
    cleared: (service, fingerprint) => {
      for (const peer of peersOf(service)) send(peer, CLEARED, fingerprint, REPORT_TIMEOUT_MS)
    },
    takeOver: (service) => {
      const peers = peersOf(service)
      if (hasTakenOver || peers.length === 0) return
      hasTakenOver = true
      for (const peer of peers.slice(0, TABLE_SOURCES)) takeOverFrom(peer)
    },
    handle: (kind, body) => {
      switch (kind) {
        case CRASH: {
          const crash = crashSchema.safeParse(body)
          if (crash.success) table.record(crash.data)
          break
        }
        case CLEARED: {
          const fingerprint = uint.safeParse(body)
          if (fingerprint.success) table.clear(fingerprint.data)
          break
        }
        case TABLE: return table.export() satisfies CrashTableContent
        default: return undefined
      }
      onChange()
      return true
    }
  }
}
