import type { Member, MemberRecord, MembersView, Random } from '@orioleslip/core'
import type { SelfRecordStore } from './self-record.js'
import type { Address } from './socket.js'
import type { MemberTable } from './table.js'

/** UDP address of a member. */
export function gossipAddress (record: MemberRecord): Address {
  return { host: record.host, port: record.gossipPort }
}

/** Returns a copy in random order. */
export function shuffled<T> (items: readonly T[], random: Random): T[] {
  const copy = [...items]
  for (let i = copy.length - 1; i > 0; i--) {
    const j = random.int(i + 1)
    const item = copy[i] as T
    copy[i] = copy[j] as T
    copy[j] = item
  }
  return copy
}

/** Returns up to `count` distinct random items. */
export function randomSample<T> (items: readonly T[], count: number, random: Random): T[] {
  if (items.length <= count * 2) return shuffled(items, random).slice(0, count)
  const chosen = new Set<T>()
  while (chosen.size < count) chosen.add(items[random.int(items.length)] as T)
  return [...chosen]
}

/** Read view of the member table and the self record for other modules, cached between changes. */
export type CachedView = MembersView & {
  /** Other members that are alive or suspect. */
  reachable: () => Member[]
  /** True when this process or a reachable member uses the address. */
  isReachable: (address: Address) => boolean
  /** Invalidates the cache and notifies the listeners. */
  changed: () => void
}

/** Creates the view over the table and the self record. */
export function createCachedView (selfRecord: SelfRecordStore, table: MemberTable): CachedView {
  type Cache = { all: Member[], reachable: Member[], addresses: Set<string>, byService: Map<string, Member[]>, known: number }
  const listeners = new Set<() => void>()
  let cache: Cache | undefined

  const load = (): Cache => {
    if (cache !== undefined) return cache
    const others = table.members().map(({ record, liveness }) => ({ record, liveness }))
    const all: Member[] = [{ record: selfRecord.record(), liveness: selfRecord.update(false).liveness }, ...others]
    const byService = new Map<string, Member[]>()
    for (const member of all) {
      const service = member.record.target?.service
      if (service === undefined) continue
      const members = byService.get(service)
      if (members === undefined) byService.set(service, [member])
      else members.push(member)
    }
    const reachable = others.filter(({ liveness }) => liveness === 'alive' || liveness === 'suspect')
    const addresses = new Set([selfRecord.record(), ...reachable.map(({ record }) => record)].map(({ host, gossipPort }) => `${host}:${gossipPort}`))
    cache = { all, reachable, addresses, byService, known: all.filter(({ liveness }) => liveness !== 'left').length }
    return cache
  }

  return {
    self: selfRecord.record,
    all: () => [...load().all],
    ofService: (service) => load().byService.get(service) ?? [],
    // Members that left are kept in the table only to reject late updates.
    knownCount: () => load().known,
    onChange: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    reachable: () => load().reachable,
    isReachable: ({ host, port }) => load().addresses.has(`${host}:${port}`),
    changed: () => {
      cache = undefined
      for (const listener of listeners) listener()
    }
  }
}
