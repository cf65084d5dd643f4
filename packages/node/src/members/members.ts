import { createCanceller, type Clock, type Member, type MemberRecord, type MembersView, type Random, type TargetRecord } from '@orioleslip/core'
import { createChannel } from './channel.js'
import type { ChannelStats } from './channel.js'
import { decodeMessage, updatesOf } from './message.js'
import { createSelfRecordStore } from './self-record.js'
import type { Log } from './self-record.js'
import { createCachedView, gossipAddress, randomSample } from './peers.js'
import { createProber } from './prober.js'
import { createRunGaps } from './run-gaps.js'
import { processReads } from '../net/socket-reads.js'
import type { Address, DatagramSocket } from './socket.js'
import { createByteBudget, createDissemination } from './dissemination.js'
import { createStallLog } from './stall-log.js'
import { createSync } from './sync.js'
import { createMemberTable } from './table.js'
import { FREEZE_GAP_MS, GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND, GOSSIP_FANOUT, GOSSIP_INTERVAL_MS, URGENT_RESERVE_BYTES } from './timing.js'
import type { Update } from './update.js'

/** Gossip periods for which a leaving process continues to run, so that its last state reaches other members. */
const LEAVE_PERIODS = 5
/** Maximum number of VM ids in one log line. */
const MAX_LOGGED_IDS = 10

/** Dependencies of `createMembers`. */
export type MembersOptions = {
  /** Record of this process, made by `createSelfRecord`. */
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
  /** Announces that this process leaves the fleet, then stops. */
  leave: () => Promise<void>
  stop: () => void
  /** Merges a table that was received over another channel. */
  mergeTable: (updates: Update[]) => void
  /** Full updates of all members, this process included. */
  exportTable: () => Update[]
  /** Random reachable node for a table exchange. */
  chooseSyncPeer: () => MemberRecord | undefined
  /** False until this process has a table, and after a freeze until a member has replied with its state; it must not accept work then. */
  isConfirmed: () => boolean
  /** Longest time in which this process did not run, among those that ended after `sinceMs` of the clock, in ms. */
  longestGapMs: (sinceMs: number) => number
  /** Time by which this process is late for its regular work, or has just been, in ms. */
  lateMs: () => number
  stats: () => ChannelStats
}

/** Creates the record of this process. Its incarnation is the wall clock, so that a restarted process overrides its predecessor. */
export function createSelfRecord (record: Omit<MemberRecord, 'incarnation' | 'version'>, clock: Clock): MemberRecord {
  return { ...record, incarnation: Math.floor(clock.wallMs()), version: 0 }
}

/**
 * True if calls to the target must stop. A target that becomes ready is not urgent: a member that learns of it late only sends it no calls
 * yet, and at the start of a fleet the extra copies of hundreds of such changes would be most of the traffic.
 */
function endsWork (previous: MemberRecord | undefined, { record, liveness }: Member): boolean {
  if (liveness === 'left') return true
  const state = record.target?.state
  return state !== undefined && state !== 'ready' && state !== previous?.target?.state
}

/** Creates the membership over a UDP socket; `start` joins the fleet. */
export function createMembers (options: MembersOptions): Members {
  const { self, seeds, fleetKey, clock, random, log, socket } = options
  const stopping = createCanceller()
  const selfRecord = createSelfRecordStore(self, log)
  const table = createMemberTable(clock)
  const view = createCachedView(selfRecord, table)
  const dissemination = createDissemination(() => view.reachable().length + 1)
  const budget = createByteBudget(clock, GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES)
  const channel = createChannel({ fleetKey, clock, socket, selfRecord, table, dissemination, budget })
  let lastReceivedMs = -Infinity
  // Set after a freeze: an ack of a ping with a higher sequence number contains the sender's current state of this process.
  let resumingSinceSeq: number | undefined
  const runGaps = createRunGaps(clock)
  const logStall = createStallLog(log)
  const prober = createProber({ clock, random, log, seeds, channel, table, dissemination, view, lastReceivedMs: () => lastReceivedMs })
  const sync = createSync({ clock, random, seeds, selfRecord, channel, table, view, budget, signal: stopping.signal })
  const isSelf = (vmId: string) => vmId === self.vmId

  /** Merges one update and adds the VM id to `incomplete` when the record is needed; true when the table changed. */
  const apply = (update: Update, disseminate: boolean, incomplete: string[]): boolean => {
    const { vmId } = update
    if (isSelf(vmId)) {
      const refuted = selfRecord.handleUpdate(update)
      if (refuted) dissemination.add(vmId, { full: false, urgent: true })
      return refuted
    }
    const before = table.get(vmId)
    const previous = before === undefined ? undefined : { liveness: before.liveness, record: before.record }
    const result = table.merge(update)
    if (result === 'same' || result === 'stale') dissemination.countDuplicate(vmId)
    if (result === 'incomplete') incomplete.push(vmId)
    if (result === 'disputed') prober.verify(vmId)
    const now = table.get(vmId)
    if (result !== 'applied' || now === undefined) return false
    const { host, port } = gossipAddress(now.record)
    if (host === self.host && port === self.gossipPort) table.raiseLiveness(vmId, 'failed')
    if (previous?.liveness === 'failed' && now.liveness === 'alive') {
      const { incarnation } = now.record
      const previousIncarnation = previous.record.incarnation
      log.info({ event: 'member', vmId, state: 'alive', incarnation, previousIncarnation }, 'failed member is alive again')
    }
    if (disseminate) {
      dissemination.add(vmId, { full: update.record !== undefined, urgent: endsWork(previous?.record, now) })
    }
    return true
  }

  const receive = (data: Uint8Array, from: Address) => {
    if (stopping.signal.aborted) return
    channel.stats.receivedMessages++
    channel.stats.receivedBytes += data.length
    const msg = decodeMessage(fleetKey, data)
    if (msg === undefined) {
      if (channel.stats.rejected++ === 0) log.warn({ event: 'datagram-rejected', from }, 'datagram rejected: signed with another fleet key or malformed; compare auth.fleetKey')
      return
    }
    if (isSelf(msg.from)) return
    lastReceivedMs = clock.nowMs()
    const wasKnown = table.get(msg.from) !== undefined
    const incomplete: string[] = []
    // Updates from tables are not disseminated: most are already known everywhere, and each join would flood the fleet.
    let changed = updatesOf(msg).map((update) => apply(update, msg.kind !== 'table', incomplete)).some(Boolean)
    const sender = table.get(msg.from)
    if (sender === undefined || sender.record.incarnation < msg.incarnation) incomplete.push(msg.from)
    if (incomplete.length > 0) sync.requestRecords(from, [...new Set(incomplete)])
    const wasJoined = sync.joined()
    prober.handle(msg, from)
    sync.handle(msg, from)
    // An unknown sender has joined through other members, so more records may be missing here. A failed sender only has to refute.
    if (!wasKnown && msg.kind !== 'tableAsk') sync.compareWith(from)
    if (resumingSinceSeq !== undefined && msg.kind === 'ack' && msg.seq > resumingSinceSeq) {
      resumingSinceSeq = undefined
      changed = true
    }
    if (!wasJoined && sync.joined()) {
      // Before the join there was no member to send the self record to, and its sends may be used up.
      dissemination.add(self.vmId, { full: true, urgent: true })
      changed = true
    }
    if (changed) view.changed()
  }

  const resumeAfterFreeze = (frozenMs: number) => {
    log.warn({ event: 'frozen', frozenMs }, 'this process did not run for a while; it accepts no new work until another member has replied')
    table.extendSuspicions(frozenMs)
    if (view.reachable().length > 0) resumingSinceSeq = prober.pingSample(GOSSIP_FANOUT)
    view.changed()
  }

  const gossip = () => {
    const waiting = dissemination.waiting()
    const level = budget.level()
    if (waiting === undefined || level <= 0 || (waiting === 'normal' && level < URGENT_RESERVE_BYTES)) return
    const targets = randomSample(view.reachable(), GOSSIP_FANOUT, random)
    if (targets.length > 0) channel.gossip(targets.map(({ record }) => gossipAddress(record)))
  }

  const logIds = (records: MemberRecord[], text: string) => {
    if (records.length > 0) log.info({ event: 'members', count: records.length, vmIds: records.slice(0, MAX_LOGGED_IDS).map(({ vmId }) => vmId) }, text)
  }

  const runGossip = async () => {
    while (!stopping.signal.aborted) {
      runGaps.ran()
      processReads.noteTurn()
      gossip()
      if (resumingSinceSeq !== undefined) prober.pingSample(GOSSIP_FANOUT)
      const { failed, forgotten } = table.expire()
      // Failures need no dissemination: members with the suspicion have their own timer, others find the difference by digest.
      for (const { vmId } of failed) dissemination.drop(vmId)
      logIds(failed, 'members declared failed')
      logIds(forgotten, 'members removed from the table')
      if (failed.length + forgotten.length > 0) view.changed()
      await clock.sleep(GOSSIP_INTERVAL_MS, stopping.signal)
      const lateMs = runGaps.sinceLastMs() - GOSSIP_INTERVAL_MS
      logStall(lateMs)
      if (lateMs > FREEZE_GAP_MS) resumeAfterFreeze(lateMs)
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
      runGaps.ran()
      socket.onMessage(receive)
      dissemination.add(self.vmId, { full: true, urgent: true })
      runGossip()
      prober.run(stopping.signal)
      sync.run(stopping.signal)
    },
    announceTarget: (target) => {
      const stateChanged = target?.state !== selfRecord.record().target?.state
      selfRecord.setTarget(target)
      dissemination.add(self.vmId, { full: true, urgent: stateChanged })
      view.changed()
    },
    leave: async () => {
      selfRecord.leave()
      dissemination.add(self.vmId, { full: false, urgent: true })
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
    chooseSyncPeer: () => randomSample(view.reachable().filter(({ record }) => record.role === 'node'), 1, random)[0]?.record,
    isConfirmed: () => sync.joined() && resumingSinceSeq === undefined && runGaps.sinceLastMs() <= GOSSIP_INTERVAL_MS + FREEZE_GAP_MS,
    longestGapMs: runGaps.longestMs,
    lateMs: () => runGaps.lateMs(GOSSIP_INTERVAL_MS),
    stats: () => ({ ...channel.stats })
  }
}
