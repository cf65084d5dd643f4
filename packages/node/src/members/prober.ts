import { createCanceller, type CancelSignal, type Clock, type Member, type MemberRecord, type Random } from '@orioleslip/core'
import type { Channel } from './channel.js'
import type { Message } from './message.js'
import type { Log } from './self-record.js'
import { gossipAddress, randomSample, shuffled } from './peers.js'
import type { CachedView } from './peers.js'
import type { Address } from './socket.js'
import type { Dissemination } from './dissemination.js'
import { updateOf } from './table.js'
import type { MemberTable } from './table.js'
import { DIRECT_ACK_MS, FREEZE_GAP_MS, INDIRECT_ACK_MS, INDIRECT_HELPERS, PROBE_INTERVAL_MS, RECONNECTS_PER_PERIOD } from './timing.js'

/** Maximum number of concurrent verifications of disputed members; the next table exchange reports the others again. */
const MAX_VERIFICATIONS = 32

/** Failure detector of the SWIM kind, with direct and indirect probes. */
export type Prober = {
  /** Probes until the signal aborts. */
  run: (signal: CancelSignal) => Promise<void>
  /** Pings a member that another one has declared failed, with that update attached, so that it can refute. */
  verify: (vmId: string) => void
  /** Pings `count` random members, without effect on their liveness; returns the sequence number before the first ping. */
  pingSample: (count: number) => number
  /** Handles `ping`, `pingReq`, `ack` and `nack`. */
  handle: (msg: Message, from: Address) => void
}

/** Dependencies of `createProber`. */
export type ProberOptions = {
  clock: Clock
  random: Random
  log: Log
  seeds: Address[]
  channel: Channel
  table: MemberTable
  dissemination: Dissemination
  view: CachedView
  /** Monotonic time at which the last valid datagram was received, in ms. */
  lastReceivedMs: () => number
}

/** Creates the failure detector. */
export function createProber (options: ProberOptions): Prober {
  const { clock, random, log, seeds, channel, table, dissemination, view } = options
  const pending = new Map<number, (msg: Message) => void>()
  const verifying = new Set<string>()
  let lastSeq = random.int(2 ** 30)
  let probeOrder: string[] = []

  // Updates to attach to a message to a member, so that it can refute them: it is not alive in this table, or its incarnation here is
  // higher than the one it uses.
  const refutableUpdates = (vmId: string, incarnation = Infinity) => {
    const update = table.update(vmId, false)
    return update === undefined || (update.liveness === 'alive' && update.incarnation <= incarnation) ? [] : [update]
  }

  const registerReplyHandler = (handler: (msg: Message) => void) => {
    const seq = ++lastSeq
    pending.set(seq, handler)
    return seq
  }

  const markFailed = (record: MemberRecord, reason: string) => {
    if (!table.raiseLiveness(record.vmId, 'failed')) return
    log.info({ event: 'member', vmId: record.vmId, state: 'failed', host: record.host }, reason)
    view.changed()
  }

  const markSuspect = (record: MemberRecord): boolean => {
    if (!table.raiseLiveness(record.vmId, 'suspect')) return false
    log.info({ event: 'member', vmId: record.vmId, state: 'suspect' }, 'member does not acknowledge probes')
    view.changed()
    return true
  }

  const reportSuspect = (record: MemberRecord, startMs: number) => {
    // If this process received nothing during the probe, it may be disconnected itself, so it does not disseminate the suspicion.
    if (markSuspect(record) && options.lastReceivedMs() >= startMs) dissemination.add(record.vmId, { full: false, urgent: false })
  }

  /** Pings once; resolves with the VM id of the replying process, or undefined after `waitMs`. */
  const ping = async (record: MemberRecord, waitMs: number, updates = refutableUpdates(record.vmId)): Promise<string | undefined> => {
    const replied = createCanceller()
    let repliedBy: string | undefined
    const seq = registerReplyHandler((msg) => {
      repliedBy = msg.from
      replied.abort()
    })
    channel.send(gossipAddress(record), { kind: 'ping', to: record.vmId }, seq, updates)
    await clock.sleep(waitMs, replied.signal)
    pending.delete(seq)
    return repliedBy
  }

  const probe = async ({ record }: Member) => {
    const startMs = clock.nowMs()
    const { vmId } = record
    const done = createCanceller()
    let ackedBy: string | undefined
    const replied = (repliedBy: string) => {
      ackedBy = repliedBy
      done.abort()
    }
    const seqs = [registerReplyHandler((msg) => replied(msg.from))]
    channel.send(gossipAddress(record), { kind: 'ping', to: vmId }, lastSeq, refutableUpdates(vmId))
    await clock.sleep(DIRECT_ACK_MS, done.signal)
    if (ackedBy === undefined) {
      const others = view.reachable().filter((member) => member.liveness === 'alive' && member.record.vmId !== vmId)
      for (const helper of randomSample(others, INDIRECT_HELPERS, random)) {
        seqs.push(registerReplyHandler((msg) => { if (msg.kind === 'ack') replied(vmId) }))
        channel.send(gossipAddress(helper.record), { kind: 'pingReq', target: vmId }, lastSeq)
      }
      await clock.sleep(PROBE_INTERVAL_MS - DIRECT_ACK_MS, done.signal)
    }
    for (const seq of seqs) pending.delete(seq)
    if (ackedBy === vmId) return
    if (ackedBy !== undefined) return markFailed(record, `VM ${ackedBy} has taken over the address of this member`)
    // If this process itself did not run, acks may still be unread in the socket.
    if (clock.nowMs() - startMs < PROBE_INTERVAL_MS + FREEZE_GAP_MS) reportSuspect(record, startMs)
  }

  const nextMember = (): Member | undefined => {
    for (let refilled = false; ;) {
      const vmId = probeOrder.pop()
      const member = vmId === undefined ? undefined : table.get(vmId)
      if (member?.liveness === 'alive' || member?.liveness === 'suspect') return member
      if (vmId !== undefined) continue
      if (refilled) return undefined
      probeOrder = shuffled(view.reachable().map(({ record }) => record.vmId), random)
      refilled = true
    }
  }

  const reconnect = () => {
    const failed = table.members().filter(({ liveness }) => liveness === 'failed')
    const lost = [
      ...failed.map(({ record }) => ({ to: record.vmId, address: gossipAddress(record) })),
      ...seeds.map((address) => ({ to: '', address }))
    ].filter(({ address }) => !view.isReachable(address))
    for (const { to, address } of randomSample(lost, RECONNECTS_PER_PERIOD, random)) {
      channel.send(address, { kind: 'ping', to }, ++lastSeq, refutableUpdates(to))
    }
  }

  const probeIndirectly = async (msg: Message & { kind: 'pingReq' }, from: Address) => {
    const target = table.get(msg.target)
    const repliedBy = target === undefined ? undefined : await ping(target.record, INDIRECT_ACK_MS)
    channel.send(from, { kind: repliedBy === msg.target ? 'ack' : 'nack' }, msg.seq)
  }

  return {
    run: async (signal) => {
      while (!signal.aborted) {
        const startMs = clock.nowMs()
        reconnect()
        const member = nextMember()
        if (member !== undefined) await probe(member)
        await clock.sleep(Math.max(1, startMs + PROBE_INTERVAL_MS - clock.nowMs()), signal)
      }
    },
    verify: (vmId) => {
      const member = table.get(vmId)
      if (member === undefined || verifying.has(vmId) || verifying.size >= MAX_VERIFICATIONS) return
      verifying.add(vmId)
      ping(member.record, DIRECT_ACK_MS, [updateOf(member.record, 'failed', false)]).then((repliedBy) => {
        verifying.delete(vmId)
        if (repliedBy === undefined) markSuspect(member.record)
        else if (repliedBy !== vmId) markFailed(member.record, `VM ${repliedBy} has taken over the address of this member`)
      })
    },
    pingSample: (count) => {
      const before = lastSeq
      for (const { record } of randomSample(view.reachable(), count, random)) {
        channel.send(gossipAddress(record), { kind: 'ping', to: record.vmId }, ++lastSeq, refutableUpdates(record.vmId))
      }
      return before
    },
    handle: (msg, from) => {
      switch (msg.kind) {
        // Acknowledged whatever `to` is: by the VM id in the ack the sender detects that another VM now has this address.
        case 'ping': return channel.send(from, { kind: 'ack' }, msg.seq, refutableUpdates(msg.from, msg.incarnation))
        case 'pingReq':
          probeIndirectly(msg, from)
          return
        case 'ack': case 'nack': return pending.get(msg.seq)?.(msg)
        default:
      }
    }
  }
}
