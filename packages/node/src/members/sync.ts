import type { Clock, Random } from '@orioleslip/core'
import type { Channel } from './channel.js'
import type { Message } from './message.js'
import type { OwnRecord } from './own-record.js'
import { gossipAddress, sample } from './peers.js'
import type { CachedView } from './peers.js'
import type { Address } from './socket.js'
import type { ByteBudget } from './spread.js'
import { bucketOf, differingBuckets, digestOf } from './table.js'
import type { MemberTable } from './table.js'
import { PROBE_INTERVAL_MS, SYNC_FIRST_MS, SYNC_INTERVAL_MS, SYNC_UNSETTLED_MS, URGENT_RESERVE_BYTES } from './timing.js'
import type { Update } from './update.js'

/** Buckets that are compared at a time while the byte budget is low. */
const BUCKETS_WHEN_SHORT = 8
/** VM ids in one `want`: up to 64 bytes each, and the message must fit into a datagram with its updates. */
const IDS_PER_WANT = 10

/** Table exchange at join and its repair by digests. */
export type Sync = {
  run: (signal: AbortSignal) => Promise<void>
  /** Starts a comparison with the member at this address, at most once per second. */
  compareWith: (to: Address) => void
  /** Asks for the full records of members. */
  want: (to: Address, vmIds: string[]) => void
  /** Handles `tableAsk`, `table`, `digest` and `want`. */
  handle: (msg: Message, from: Address) => void
  joined: () => boolean
  /** Every entry of the table, the own one included. */
  updates: (full: boolean) => Update[]
}

export type SyncParts = {
  clock: Clock
  random: Random
  seeds: Address[]
  own: OwnRecord
  channel: Channel
  table: MemberTable
  view: CachedView
  budget: ByteBudget
  signal: AbortSignal
}

/** Creates the table exchange. */
export function createSync (parts: SyncParts): Sync {
  const { clock, random, own, channel, table, view, budget, signal } = parts
  const self = gossipAddress(own.record())
  const seeds = parts.seeds.filter(({ host, port }) => host !== self.host || port !== self.port)
  // A seed must be able to start first; every other process waits until it has a table.
  const state = { joined: seeds.length < parts.seeds.length, settled: false }
  let comparedMs = -Infinity

  const updates = (full: boolean): Update[] => [
    own.update(full),
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

  const compareWithAny = () => {
    for (const { record } of sample(view.reachable(), 1, random)) compareWith(gossipAddress(record))
  }

  const join = async () => {
    while (!signal.aborted && !state.joined) {
      for (const seed of sample(seeds, 1, random)) channel.send(seed, { kind: 'tableAsk' }, 0, [own.update(true)])
      // Members that know this process from before may find it while all seeds are down.
      compareWithAny()
      await clock.sleep(PROBE_INTERVAL_MS, signal)
    }
  }

  const answerDigest = (msg: Message & { kind: 'digest' }, from: Address) => {
    const differing = differingBuckets(digest(), msg.hashes)
    if (!msg.reply) sendDigest(from, true)
    state.settled ||= msg.reply && differing.size === 0
    state.joined ||= state.settled
    if (differing.size === 0) return
    const short = budget.level() < URGENT_RESERVE_BYTES
    const buckets = new Set(short ? sample([...differing], BUCKETS_WHEN_SHORT, random) : differing)
    channel.sendTable(from, updates(false).filter(({ vmId }) => buckets.has(bucketOf(vmId))), false, signal)
  }

  const answerWant = (msg: Message & { kind: 'want' }, from: Address) => {
    const wanted = msg.vmIds.flatMap((vmId) => (vmId === own.record().vmId ? own.update(true) : table.update(vmId, true)) ?? [])
    channel.sendTable(from, wanted, false, signal)
  }

  return {
    run: async () => {
      await join()
      // Until one comparison finds no difference the table may still miss chunks of the join.
      let unsettledMs = SYNC_FIRST_MS
      while (!signal.aborted) {
        const waitMs = state.settled ? SYNC_INTERVAL_MS : unsettledMs
        unsettledMs = Math.min(SYNC_UNSETTLED_MS, unsettledMs * 2)
        // A random share of the period keeps members that started together apart.
        await clock.sleep(waitMs * (0.75 + random.next() / 2), signal)
        if (!signal.aborted) compareWithAny()
      }
    },
    compareWith,
    want: (to, vmIds) => {
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
        case 'digest': return answerDigest(msg, from)
        case 'want': return answerWant(msg, from)
        default:
      }
    },
    joined: () => state.joined,
    updates
  }
}
