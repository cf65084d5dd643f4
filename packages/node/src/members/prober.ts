import type { Clock, Member, MemberRecord, Random } from '@orioleslip/core'
import type { Channel } from './channel.js'
import type { Message } from './message.js'
import type { Log } from './own-record.js'
import { gossipAddress, sample, shuffled } from './peers.js'
import type { CachedView } from './peers.js'
import type { Address } from './socket.js'
import type { Spread } from './spread.js'
import { updateOf } from './table.js'
import type { MemberTable } from './table.js'
import { DIRECT_ACK_MS, FREEZE_GAP_MS, INDIRECT_ACK_MS, INDIRECT_HELPERS, PROBE_INTERVAL_MS, RECONNECTS_PER_PERIOD } from './timing.js'

/** Accused members that are asked at the same time; others are accused again by the next table exchange. */
const MAX_VERIFICATIONS = 32

/** Failure detector. */
export type Prober = {
  /** Probes until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>
  /** Asks a member whether it still runs and tells it that it was declared failed. */
  verify: (vmId: string) => void
  /** Pings some members without judging them by the answer; returns the sequence number before the first ping. */
  greet: (count: number) => number
  /** Handles `ping`, `pingReq`, `ack` and `nack`. */
  handle: (msg: Message, from: Address) => void
}

export type ProberParts = {
  clock: Clock
  random: Random
  log: Log
  seeds: Address[]
  channel: Channel
  table: MemberTable
  spread: Spread
  view: CachedView
  /** Monotonic time at which the last valid datagram came in, in ms. */
  lastHeardMs: () => number
}

/** Creates the failure detector. */
export function createProber (parts: ProberParts): Prober {
  const { clock, random, log, seeds, channel, table, spread, view } = parts
  const pending = new Map<number, (msg: Message) => void>()
  const verifying = new Set<string>()
  let lastSeq = random.int(2 ** 30)
  let order: string[] = []

  // Whoever is doubted here, or was known with a higher incarnation, learns it with the next message and can refute.
  const opinionOf = (vmId: string, incarnation = Infinity) => {
    const update = table.update(vmId, false)
    return update === undefined || (update.liveness === 'alive' && update.incarnation <= incarnation) ? [] : [update]
  }

  const expect = (handler: (msg: Message) => void) => {
    const seq = ++lastSeq
    pending.set(seq, handler)
    return seq
  }

  const fail = (record: MemberRecord, reason: string) => {
    if (!table.judge(record.vmId, 'failed')) return
    log.info({ event: 'member', vmId: record.vmId, state: 'failed', host: record.host }, reason)
    view.changed()
  }

  const doubt = (record: MemberRecord): boolean => {
    if (!table.judge(record.vmId, 'suspect')) return false
    log.info({ event: 'member', vmId: record.vmId, state: 'suspect' }, 'member does not answer probes')
    view.changed()
    return true
  }

  const suspect = (record: MemberRecord, startMs: number) => {
    // Who heard nobody during the probe may be cut off itself and keeps its doubts to itself.
    if (doubt(record) && parts.lastHeardMs() >= startMs) spread.add(record.vmId, { full: false, urgent: false })
  }

  /** Pings once; resolves with who answered, or undefined after `waitMs`. */
  const ping = async (record: MemberRecord, waitMs: number, first = opinionOf(record.vmId)): Promise<string | undefined> => {
    const answered = new AbortController()
    let by: string | undefined
    const seq = expect((msg) => {
      by = msg.from
      answered.abort()
    })
    channel.send(gossipAddress(record), { kind: 'ping', to: record.vmId }, seq, first)
    await clock.sleep(waitMs, answered.signal)
    pending.delete(seq)
    return by
  }

  const probe = async ({ record }: Member) => {
    const startMs = clock.nowMs()
    const { vmId } = record
    const done = new AbortController()
    let answeredBy: string | undefined
    const answered = (by: string) => {
      answeredBy = by
      done.abort()
    }
    const seqs = [expect((msg) => answered(msg.from))]
    channel.send(gossipAddress(record), { kind: 'ping', to: vmId }, lastSeq, opinionOf(vmId))
    await clock.sleep(DIRECT_ACK_MS, done.signal)
    if (answeredBy === undefined) {
      const others = view.reachable().filter((member) => member.liveness === 'alive' && member.record.vmId !== vmId)
      for (const helper of sample(others, INDIRECT_HELPERS, random)) {
        seqs.push(expect((msg) => { if (msg.kind === 'ack') answered(vmId) }))
        channel.send(gossipAddress(helper.record), { kind: 'pingReq', target: vmId }, lastSeq)
      }
      await clock.sleep(PROBE_INTERVAL_MS - DIRECT_ACK_MS, done.signal)
    }
    for (const seq of seqs) pending.delete(seq)
    if (answeredBy === vmId) return
    if (answeredBy !== undefined) return fail(record, `VM ${answeredBy} has taken over the address of this member`)
    // Acks may wait unread in the socket when this process itself did not run.
    if (clock.nowMs() - startMs < PROBE_INTERVAL_MS + FREEZE_GAP_MS) suspect(record, startMs)
  }

  const nextMember = (): Member | undefined => {
    for (let refilled = false; ;) {
      const vmId = order.pop()
      const member = vmId === undefined ? undefined : table.get(vmId)
      if (member?.liveness === 'alive' || member?.liveness === 'suspect') return member
      if (vmId !== undefined) continue
      if (refilled) return undefined
      order = shuffled(view.reachable().map(({ record }) => record.vmId), random)
      refilled = true
    }
  }

  const reconnect = () => {
    const failed = table.members().filter(({ liveness }) => liveness === 'failed')
    const lost = [
      ...failed.map(({ record }) => ({ to: record.vmId, address: gossipAddress(record) })),
      ...seeds.map((address) => ({ to: '', address }))
    ].filter(({ address }) => !view.isReachable(address))
    for (const { to, address } of sample(lost, RECONNECTS_PER_PERIOD, random)) {
      channel.send(address, { kind: 'ping', to }, ++lastSeq, opinionOf(to))
    }
  }

  const help = async (msg: Message & { kind: 'pingReq' }, from: Address) => {
    const target = table.get(msg.target)
    const by = target === undefined ? undefined : await ping(target.record, INDIRECT_ACK_MS)
    channel.send(from, { kind: by === msg.target ? 'ack' : 'nack' }, msg.seq)
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
      ping(member.record, DIRECT_ACK_MS, [updateOf(member.record, 'failed', false)]).then((by) => {
        verifying.delete(vmId)
        if (by === undefined) doubt(member.record)
        else if (by !== vmId) fail(member.record, `VM ${by} has taken over the address of this member`)
      })
    },
    greet: (count) => {
      const before = lastSeq
      for (const { record } of sample(view.reachable(), count, random)) {
        channel.send(gossipAddress(record), { kind: 'ping', to: record.vmId }, ++lastSeq, opinionOf(record.vmId))
      }
      return before
    },
    handle: (msg, from) => {
      switch (msg.kind) {
        // Answered whatever `to` is: the name in the ack shows the sender that another VM has this address now.
        case 'ping': return channel.send(from, { kind: 'ack' }, msg.seq, opinionOf(msg.from, msg.incarnation))
        case 'pingReq':
          help(msg, from)
          return
        case 'ack': case 'nack': return pending.get(msg.seq)?.(msg)
        default:
      }
    }
  }
}
