import { setMaxListeners } from 'node:events'
import type { Clock, MemberRecord, MembersView, Random, TargetRecord } from '@orioleslip/core'
import { createChannel } from './channel.js'
import type { ChannelStats } from './channel.js'
import { decodeMessage, updatesOf } from './message.js'
import { createOwnRecord } from './own-record.js'
import type { Log } from './own-record.js'
import { createCachedView, gossipAddress, sample } from './peers.js'
import { createProber } from './prober.js'
import type { Address, DatagramSocket } from './socket.js'
import { createByteBudget, createSpread } from './spread.js'
import { createSync } from './sync.js'
import { createMemberTable } from './table.js'
import { FREEZE_GAP_MS, GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND, GOSSIP_FANOUT, GOSSIP_INTERVAL_MS, URGENT_RESERVE_BYTES } from './timing.js'
import type { Update } from './update.js'

/** Gossip periods for which a leaving process stays, so that its last state reaches others. */
const LEAVE_PERIODS = 5
/** VM ids named in one log line. */
const LOGGED_IDS = 10

export type MembersOptions = {
  /** Own record; `createSelfRecord` sets the incarnation. */
  self: MemberRecord
  /** Gossip addresses of the control VMs. */
  seeds: Address[]
  fleetKey: string
  clock: Clock
  random: Random
  log: Log
  socket: DatagramSocket
}

/** Membership of this process in the fleet. */
export type Members = MembersView & {
  start: () => void
  /** Publishes the state of the local target; undefined when there is none. */
  announceTarget: (target: TargetRecord | undefined) => void
  /** Tells the fleet that this process ends, then stops. */
  leave: () => Promise<void>
  stop: () => void
  /** Merges a table that came over another channel. */
  mergeTable: (updates: Update[]) => void
  exportTable: () => Update[]
  /** Random reachable node for a table exchange. */
  chooseSyncPeer: () => MemberRecord | undefined
  /** False until this process has a table, and after a freeze until it knows what the fleet thinks of it: it must not take work. */
  isConfirmed: () => boolean
  stats: () => ChannelStats
}

/** Completes the own record: the incarnation is the wall clock, so that a restarted process overrides its predecessor. */
export function createSelfRecord (record: Omit<MemberRecord, 'incarnation' | 'version'>, clock: Clock): MemberRecord {
  return { ...record, incarnation: Math.floor(clock.wallMs()), version: 0 }
}

/** Joins the membership over a UDP socket. */
export function createMembers (options: MembersOptions): Members {
  const { self, seeds, fleetKey, clock, random, log, socket } = options
  const stopping = new AbortController()
  // Each table that is being sent listens for the stop; many members may join at once.
  setMaxListeners(0, stopping.signal)
  const own = createOwnRecord(self, log)
  const table = createMemberTable(clock)
  const view = createCachedView(own, table)
  const spread = createSpread(() => view.reachable().length + 1)
  const budget = createByteBudget(clock, GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES)
  const channel = createChannel({ fleetKey, clock, socket, own, table, spread, budget })
  let heardMs = -Infinity
  // After a freeze: an ack to a later ping carries what the other member thinks of this process now.
  let resumingSinceSeq: number | undefined
  let lastRunMs = clock.nowMs()
  const prober = createProber({ clock, random, log, seeds, channel, table, spread, view, lastHeardMs: () => heardMs })
  const sync = createSync({ clock, random, seeds, own, channel, table, view, budget, signal: stopping.signal })
  const isSelf = (vmId: string) => vmId === self.vmId

  /** Merges one update; true when the table changed. */
  const apply = (update: Update, passOn: boolean, wanted: string[]): boolean => {
    const { vmId } = update
    if (isSelf(vmId)) {
      const refuted = own.hear(update)
      if (refuted) spread.add(vmId, { full: false, urgent: true })
      return refuted
    }
    const before = table.get(vmId)
    const old = before === undefined ? undefined : { liveness: before.liveness, record: before.record }
    const result = table.merge(update)
    if (result === 'same' || result === 'stale') spread.repeated(vmId)
    if (result === 'want') wanted.push(vmId)
    if (result === 'accused') prober.verify(vmId)
    const now = table.get(vmId)
    if (result !== 'applied' || now === undefined) return false
    const { host, port } = gossipAddress(now.record)
    if (host === self.host && port === self.gossipPort) table.judge(vmId, 'failed')
    if (old?.liveness === 'failed' && now.liveness === 'alive') log.info({ event: 'member', vmId, state: 'alive' }, 'failed member is back')
    if (passOn) {
      const urgent = old?.record.target?.state !== now.record.target?.state || now.liveness === 'left'
      spread.add(vmId, { full: update.record !== undefined, urgent })
    }
    return true
  }

  const receive = (data: Uint8Array, from: Address) => {
    if (stopping.signal.aborted) return
    channel.stats.receivedMessages++
    channel.stats.receivedBytes += data.length
    const msg = decodeMessage(fleetKey, data)
    if (msg === undefined) {
      if (channel.stats.rejected++ === 0) log.warn({ event: 'datagram-rejected', from }, 'datagram rejected: it has another fleet key or form; compare auth.fleetKey')
      return
    }
    if (isSelf(msg.from)) return
    heardMs = clock.nowMs()
    const wasKnown = table.get(msg.from) !== undefined
    const wanted: string[] = []
    // Tables hold old news: passing them on would flood the fleet after each join.
    let changed = updatesOf(msg).map((update) => apply(update, msg.kind !== 'table', wanted)).some(Boolean)
    const sender = table.get(msg.from)
    if (sender === undefined || sender.record.incarnation < msg.incarnation) wanted.push(msg.from)
    if (wanted.length > 0) sync.want(from, [...new Set(wanted)])
    const wasJoined = sync.joined()
    prober.handle(msg, from)
    sync.handle(msg, from)
    // An unknown sender joined elsewhere, so other members may be unknown too. A failed one that returns only has to refute.
    if (!wasKnown && msg.kind !== 'tableAsk') sync.compareWith(from)
    if (resumingSinceSeq !== undefined && msg.kind === 'ack' && msg.seq > resumingSinceSeq) {
      resumingSinceSeq = undefined
      changed = true
    }
    if (!wasJoined && sync.joined()) {
      // Before the join there was nobody to send the own record to, and its sends may be used up.
      spread.add(self.vmId, { full: true, urgent: true })
      changed = true
    }
    if (changed) view.changed()
  }

  const resume = (frozenMs: number) => {
    log.warn({ event: 'frozen', frozenMs }, 'this process did not run for a while; no new work until another member has answered')
    table.extendSuspicions(frozenMs)
    if (view.reachable().length > 0) resumingSinceSeq = prober.greet(GOSSIP_FANOUT)
    view.changed()
  }

  const gossip = () => {
    const waiting = spread.waiting()
    const level = budget.level()
    if (waiting === undefined || level <= 0 || (waiting === 'normal' && level < URGENT_RESERVE_BYTES)) return
    const targets = sample(view.reachable(), GOSSIP_FANOUT, random)
    if (targets.length > 0) channel.gossip(targets.map(({ record }) => gossipAddress(record)))
  }

  const logIds = (records: MemberRecord[], text: string) => {
    if (records.length > 0) log.info({ event: 'members', count: records.length, vmIds: records.slice(0, LOGGED_IDS).map(({ vmId }) => vmId) }, text)
  }

  const runGossip = async () => {
    while (!stopping.signal.aborted) {
      lastRunMs = clock.nowMs()
      gossip()
      if (resumingSinceSeq !== undefined) prober.greet(GOSSIP_FANOUT)
      const { failed, forgotten } = table.expire()
      // Whoever took part in the suspicion has its own timer; others find the difference by digest.
      for (const { vmId } of failed) spread.drop(vmId)
      logIds(failed, 'members failed')
      logIds(forgotten, 'members forgotten')
      if (failed.length + forgotten.length > 0) view.changed()
      await clock.sleep(GOSSIP_INTERVAL_MS, stopping.signal)
      const lateMs = clock.nowMs() - lastRunMs - GOSSIP_INTERVAL_MS
      if (lateMs > FREEZE_GAP_MS) resume(lateMs)
    }
  }

  const stop = () => {
    if (stopping.signal.aborted) return
    stopping.abort()
    socket.close()
  }

  return {
    ...view,
    start: () => {
      lastRunMs = clock.nowMs()
      socket.onMessage(receive)
      spread.add(self.vmId, { full: true, urgent: true })
      runGossip()
      prober.run(stopping.signal)
      sync.run(stopping.signal)
    },
    announceTarget: (target) => {
      const stateChanged = target?.state !== own.record().target?.state
      own.setTarget(target)
      spread.add(self.vmId, { full: true, urgent: stateChanged })
      view.changed()
    },
    leave: async () => {
      own.leave()
      spread.add(self.vmId, { full: false, urgent: true })
      view.changed()
      for (let i = 0; i < LEAVE_PERIODS; i++) await clock.sleep(GOSSIP_INTERVAL_MS, stopping.signal)
      stop()
    },
    stop,
    mergeTable: (updates) => {
      const changed = updates.map((update) => apply(update, false, [])).some(Boolean)
      if (changed) view.changed()
    },
    exportTable: () => sync.updates(true),
    chooseSyncPeer: () => sample(view.reachable().filter(({ record }) => record.role === 'node'), 1, random)[0]?.record,
    isConfirmed: () => sync.joined() && resumingSinceSeq === undefined && clock.nowMs() - lastRunMs <= GOSSIP_INTERVAL_MS + FREEZE_GAP_MS,
    stats: () => ({ ...channel.stats })
  }
}
