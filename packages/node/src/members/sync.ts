import type { CancelSignal, Clock, Random } from '@orioleslip/core'
import type { Channel } from './channel.js'
import type { Message } from './message.js'
import type { SelfRecordStore } from './self-record.js'
import { gossipAddress, randomSample } from './peers.js'
import type { CachedView } from './peers.js'
import type { Address } from './socket.js'
import type { ByteBudget } from './dissemination.js'
import { bucketOf, differingBuckets, digestOf } from './table.js'
import type { MemberTable } from './table.js'
import { PROBE_INTERVAL_MS, SYNC_FIRST_MS, SYNC_INTERVAL_MS, SYNC_UNSETTLED_MS, URGENT_RESERVE_BYTES } from './timing.js'
import type { Update } from './update.js'

/** Maximum number of differing buckets that are sent at a time while the byte budget is low. */
const BUCKETS_AT_LOW_BUDGET = 8
/** Maximum number of VM ids in one `want`: each has up to 64 bytes, and the message with its updates must fit into a datagram. */
const IDS_PER_WANT = 10

/** Table exchange: a full table at the join, then repair of differences found by digests (anti-entropy). */
export type Sync = {
  run: (signal: CancelSignal) => Promise<void>
  /** Starts a digest exchange with the member at this address, at most once per second. */
  compareWith: (to: Address) => void
  /** Requests the full records of members. */
  requestRecords: (to: Address, vmIds: string[]) => void
  /** Handles `tableAsk`, `table`, `digest` and `want`. */
  handle: (msg: Message, from: Address) => void
  /** True once this process has a table. */
  joined: () => boolean
  /** Updates for all members, this process included. */
  updates: (full: boolean) => Update[]
}

/** Dependencies of `createSync`. */
export type SyncOptions = {
  clock: Clock
  random: Random
  seeds: Address[]
  selfRecord: SelfRecordStore
  channel: Channel
  table: MemberTable
  view: CachedView
  budget: ByteBudget
  signal: CancelSignal
}

/** Creates the table exchange. */
export function createSync (options: SyncOptions): Sync {
  const { clock, random, selfRecord, channel, table, view, budget, signal } = options
  const self = gossipAddress(selfRecord.record())
  const seeds = options.seeds.filter(({ host, port }) => host !== self.host || port !== self.port)
  // A seed counts as joined from the start, so that the first one can start alone; every other process waits until it has a table.
  const state = { joined: seeds.length < options.seeds.length, settled: false }
  let comparedMs = -Infinity

  const updates = (full: boolean): Update[] => [
    selfRecord.update(full),
    ...table.members().flatMap(({ record }) => table.update(record.vmId, full) ?? [])
  ]

  const digest = () => digestOf(view.all())

  const sendDigest = (to: Address, reply: boolean) => {
    channel.send(to, { kind: 'digest', hashes: digest(), reply }, 0)
  }

  const compareWith = (to: Address) => {
    if (clock.nowMs() - comparedMs < PROBE_INTERVAL_MS) return
    comparedMs = clock.nowMs()
    sendDigest(to, false)
  }

  const compareWithRandom = () => {
    for (const { record } of randomSample(view.reachable(), 1, random)) compareWith(gossipAddress(record))
  }

  const join = async () => {
    while (!signal.aborted && !state.joined) {
      for (const seed of randomSample(seeds, 1, random)) channel.send(seed, { kind: 'tableAsk' }, 0, [selfRecord.update(true)])
      // While all seeds are down, the process can join through members that still have its record and contact it.
      compareWithRandom()
      await clock.sleep(PROBE_INTERVAL_MS, signal)
    }
  }

  const handleDigest = (msg: Message & { kind: 'digest' }, from: Address) => {
    const differing = differingBuckets(digest(), msg.hashes)
    if (!msg.reply) sendDigest(from, true)
    state.settled ||= msg.reply && differing.size === 0
    state.joined ||= state.settled
    if (differing.size === 0) return
    const isBudgetLow = budget.level() < URGENT_RESERVE_BYTES
    const buckets = new Set(isBudgetLow ? randomSample([...differing], BUCKETS_AT_LOW_BUDGET, random) : differing)
    channel.sendTable(from, updates(false).filter(({ vmId }) => buckets.has(bucketOf(vmId))), false, signal)
  }

  const handleWant = (msg: Message & { kind: 'want' }, from: Address) => {
    const requested = msg.vmIds.flatMap((vmId) =>
      (vmId === selfRecord.record().vmId ? selfRecord.update(true) : table.update(vmId, true)) ?? [])
    channel.sendTable(from, requested, false, signal)
  }

  return {
    run: async () => {
      await join()
      // Until one comparison finds no difference, parts of the table may be missing that were lost during the join.
      let unsettledMs = SYNC_FIRST_MS
      while (!signal.aborted) {
        const waitMs = state.settled ? SYNC_INTERVAL_MS : unsettledMs
        unsettledMs = Math.min(SYNC_UNSETTLED_MS, unsettledMs * 2)
        // Jitter, so that members that started at the same time don't compare at the same time.
        await clock.sleep(waitMs * (0.75 + random.next() / 2), signal)
        if (!signal.aborted) compareWithRandom()
      }
    },
    compareWith,
    requestRecords: (to, vmIds) => {
      for (let i = 0; i < vmIds.length; i += IDS_PER_WANT) {
        channel.send(to, { kind: 'want', vmIds: vmIds.slice(i, i + IDS_PER_WANT) }, 0)
      }
    },
    handle: (msg, from) => {
      switch (msg.kind) {
        case 'tableAsk':
          channel.sendTable(from, updates(true), true, signal)
          return
        case 'table':
          state.joined ||= msg.last
          return
        case 'digest': return handleDigest(msg, from)
        case 'want': return handleWant(msg, from)
        default:
      }
    },
    joined: () => state.joined,
    updates
  }
}
