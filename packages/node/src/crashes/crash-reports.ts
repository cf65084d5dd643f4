import type { Clock, MemberRecord, MembersView } from '@orioleslip/core'
import { createAskPeer } from '../links/ask-peer.js'
import type { PeerPool } from '../links/pool.js'
import type { Log } from '../members/self-record.js'
import { createCrashCopies } from './crash-copies.js'
import { crashSchema, crashTableSchema, fingerprintSchema, type Crash, type CrashTable, type CrashTableContent } from './crash-table.js'

/** Kinds of requests between nodes of a service about crashes. */
const CRASH = 'crash'
const CLEARED = 'crash-cleared'
const TABLE = 'crash-table'

/** Longest wait for another node, in ms; a caller may retry a call whose target has ended after the report. */
const PEER_TIMEOUT_MS = 250
/** Number of nodes of the service that a node asks for their tables when it starts. */
const TABLE_SOURCES = 2

/** Sends what this node learns of crashes to the nodes of the same service and to holders of copies, and receives it from them. */
export type CrashReports = {
  /** Resolves when each reachable one of these nodes knows of the crash. */
  crashed: (service: string, crash: Crash) => Promise<void>
  cleared: (service: string, fingerprint: number) => void
  /** Takes over what other nodes know of the service, once; resolves when that is done, or after a limited time. */
  takeOver: (service: string) => Promise<void>
  /** Handles a request of another node; undefined for one of another kind. */
  handle: (kind: string, body: unknown) => unknown
}

/** Dependencies of `createCrashReports`. */
export type CrashReportsOptions = {
  clock: Clock
  log: Log
  members: Pick<MembersView, 'self' | 'all' | 'ofService'>
  request: PeerPool['request']
  table: Pick<CrashTable, 'record' | 'clear' | 'export' | 'merge'>
  /** Called after this node has learnt something from another one. */
  onChange: () => void
}

/** Creates the reports. Only nodes beside targets of the service use them, as each call passes one of these; holders keep copies. */
export function createCrashReports ({ clock, log, members, request, table, onChange }: CrashReportsOptions): CrashReports {
  const copies = createCrashCopies({ members, request, clock })
  const ask = createAskPeer(clock, request, PEER_TIMEOUT_MS)
  let takenOver: { service: string, done: Promise<void> } | undefined

  const peersOf = (service: string): MemberRecord[] => members.ofService(service)
    .filter(({ record, liveness }) => liveness === 'alive' && record.vmId !== members.self().vmId)
    .map(({ record }) => record)
  const askPeers = (peers: MemberRecord[], kind: string, body: unknown) => Promise.all(peers.map((peer) => ask(peer, kind, body)))

  const readTables = async (service: string): Promise<CrashTableContent[]> => {
    const replies = await askPeers(peersOf(service).slice(0, TABLE_SOURCES), TABLE, null)
    return replies.flatMap((reply) => crashTableSchema.safeParse(reply).data ?? [])
  }

  const inherit = async (service: string): Promise<void> => {
    const tables = (await Promise.all([readTables(service), copies.read(service)])).flat()
    for (const content of tables) table.merge(content)
    const known = table.export()
    const crashes = known.crashes.length
    const blocked = known.blocked.length
    if (crashes + blocked === 0) return
    log.info({ event: 'crashes-inherited', service, crashes, blocked, tables: tables.length }, 'other nodes know of requests that ended targets of the service')
    onChange()
  }

  return {
    crashed: async (service, crash) => {
      await Promise.all([askPeers(peersOf(service), CRASH, crash), copies.crashed(service, crash)])
    },
    cleared: (service, fingerprint) => {
      askPeers(peersOf(service), CLEARED, fingerprint)
      copies.cleared(service, fingerprint)
    },
    takeOver: (service) => {
      if (takenOver?.service !== service) takenOver = { service, done: inherit(service) }
      return takenOver.done
    },
    handle: (kind, body) => {
      switch (kind) {
        case CRASH: {
          const crash = crashSchema.safeParse(body)
          if (crash.success) table.record(crash.data)
          break
        }
        case CLEARED: {
          const fingerprint = fingerprintSchema.safeParse(body)
          if (fingerprint.success) table.clear(fingerprint.data)
          break
        }
        case TABLE: return table.export()
        default: return copies.handle(kind, body)
      }
      onChange()
      return true
    }
  }
}
