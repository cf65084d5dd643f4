import { createSeededRandom } from '@orioleslip/core'
import type { Clock, MemberRecord } from '@orioleslip/core'
import { createMembers, createSelfRecord } from './members.js'
import type { Members } from './members.js'
import type { Log } from './self-record.js'
import type { Address, DatagramSocket } from './socket.js'

/** A member in a simulated world. */
export type SimMember = { members: Members, address: Address }

/** Simulated time and UDP network for tests and experiments; deterministic for each seed. */
export type SimWorld = {
  clock: Clock
  advance: (ms: number) => Promise<void>
  /** Starts a member; `host` defaults to an unused address. */
  add: (vmId: string, options?: { host?: string, role?: 'node' | 'control', failureDomain?: string }) => SimMember
  /** Sets the rule by which datagrams are lost. */
  cut: (lost: (from: Address, to: Address) => boolean) => void
  /** Delays timers and incoming datagrams of a process until `thaw`. */
  freeze: (host: string) => void
  thaw: (host: string) => void
  stats: { datagrams: number, bytes: number, largest: number }
}

/** Settings of a simulated world. */
export type SimOptions = { seed: number, delayMs: number, lossRate: number, seeds: string[] }

const silent = () => {}
const silentLog = { debug: silent, info: silent, warn: silent } as unknown as Log
const GOSSIP_PORT = 7000

/** Creates a simulated world; `seeds` are the hosts from which members request the table. */
export function createSimWorld ({ seed, delayMs, lossRate, seeds }: SimOptions): SimWorld {
  const random = createSeededRandom(seed)
  const queue = new Map<number, Array<() => void>>()
  const sockets = new Map<string, (data: Uint8Array, from: Address) => void>()
  const frozen = new Map<string, Array<() => void>>()
  const stats = { datagrams: 0, bytes: 0, largest: 0 }
  let nowMs = 0
  let lost: (from: Address, to: Address) => boolean = () => false
  let hosts = 0

  const at = (dueMs: number, run: () => void) => {
    const slot = Math.max(nowMs, Math.ceil(dueMs))
    const events = queue.get(slot)
    if (events === undefined) queue.set(slot, [run])
    else events.push(run)
  }

  const unlessFrozen = (host: string, run: () => void) => {
    const held = frozen.get(host)
    if (held === undefined) run()
    else held.push(run)
  }

  const clockOf = (host: string): Clock => ({
    nowMs: () => nowMs,
    wallMs: () => 1_700_000_000_000 + nowMs,
    sleep: (ms, signal) => new Promise((resolve) => {
      if (signal?.aborted) return resolve()
      const done = () => {
        signal?.removeEventListener('abort', done)
        resolve()
      }
      signal?.addEventListener('abort', done, { once: true })
      at(nowMs + Math.max(1, ms), () => unlessFrozen(host, done))
    })
  })

  const openSocket = (address: Address): DatagramSocket => {
    let currentListener: ((data: Uint8Array, from: Address) => void) | undefined
    return {
      send: (data, to) => {
        stats.datagrams++
        stats.bytes += data.length + 28
        stats.largest = Math.max(stats.largest, data.length)
        if (lost(address, to) || random.next() < lossRate) return
        const deliver = () => sockets.get(to.host)?.(data, address)
        at(nowMs + delayMs * (0.5 + random.next()), () => unlessFrozen(to.host, deliver))
      },
      onMessage: (listener) => {
        currentListener = listener
        sockets.set(address.host, listener)
      },
      close: () => { if (sockets.get(address.host) === currentListener) sockets.delete(address.host) }
    }
  }

  const settle = async () => { for (let i = 0; i < 8; i++) await Promise.resolve() }

  return {
    clock: clockOf(''),
    stats,
    advance: async (ms) => {
      await settle()
      for (const endMs = nowMs + ms; ; nowMs++) {
        for (let events = queue.get(nowMs); events !== undefined; events = queue.get(nowMs)) {
          queue.delete(nowMs)
          for (const run of events) {
            run()
            await settle()
          }
        }
        if (nowMs >= endMs) return
      }
    },
    add: (vmId, { host = `10.0.${++hosts >> 8}.${hosts & 255}`, role = 'node', failureDomain = 'hofudborg-a' } = {}) => {
      const address = { host, port: GOSSIP_PORT }
      const record: Omit<MemberRecord, 'incarnation' | 'version'> = {
        vmId, role, host, peerPort: 7001, callerPort: 7002, gossipPort: GOSSIP_PORT, region: 'hofudborg', failureDomain
      }
      const members = createMembers({
        self: createSelfRecord(record, clockOf(host)),
        seeds: seeds.map((seedHost) => ({ host: seedHost, port: GOSSIP_PORT })),
        fleetKey: 'key-of-the-simulated-fleet',
        clock: clockOf(host),
        random: createSeededRandom(random.int(2 ** 30)),
        log: silentLog,
        socket: openSocket(address)
      })
      members.start()
      return { members, address }
    },
    cut: (rule) => { lost = rule },
    freeze: (host) => { frozen.set(host, []) },
    thaw: (host) => {
      const held = frozen.get(host) ?? []
      frozen.delete(host)
      for (const run of held) run()
    }
  }
}
