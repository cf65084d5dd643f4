import { fnv1a } from '@orioleslip/core'
import type { Liveness, MemberRecord } from '@orioleslip/core'
import { Packr } from 'msgpackr'
import { z } from 'zod'

/** State of a member as sent by another one; without `record` only its liveness, incarnation and version. */
export type Update = {
  vmId: string
  incarnation: number
  version: number
  liveness: Liveness
  /** Time since the liveness changed, by which all members remove a failed one at about the same time. */
  ageMs: number
  /** Hash of the record's contents; an update without a record applies only to a record with the same contents. */
  hash: number
  record?: MemberRecord
}

/** MessagePack codec. Record structures are disabled, because they need earlier messages and a datagram may be the first one received. */
export const packr = new Packr({ useRecords: false })

const LIVENESS = ['alive', 'suspect', 'failed', 'left'] as const
const ROLES = ['node', 'control'] as const
const TARGET_STATES = ['starting', 'ready', 'leaving', 'gone'] as const

const port = z.number().int().min(0).max(65535)
const contentsSchema = z.tuple([
  z.number().int().min(0).max(1), z.string(), port, port, port, z.string(), z.string(),
  z.tuple([z.string(), z.number(), z.number().int().min(0).max(3)]).nullable()
])
type Contents = z.infer<typeof contentsSchema>

const updateSchema = z.tuple([
  z.string().min(1), z.number(), z.number().int(), z.number().int().min(0).max(3), z.number().min(0), z.union([z.number(), contentsSchema])
])

function contentsOf (record: MemberRecord): Contents {
  const { role, host, peerPort, callerPort, gossipPort, region, failureDomain, target } = record
  const wireTarget: Contents[7] = target === undefined
    ? null
    : [target.service, target.capacity, TARGET_STATES.indexOf(target.state)]
  return [ROLES.indexOf(role), host, peerPort, callerPort, gossipPort, region, failureDomain, wireTarget]
}

function recordOf (vmId: string, incarnation: number, version: number, contents: Contents): MemberRecord {
  const [role, host, peerPort, callerPort, gossipPort, region, failureDomain, target] = contents
  const record: MemberRecord = {
    vmId, incarnation, version, role: ROLES[role] ?? 'node', host, peerPort, callerPort, gossipPort, region, failureDomain
  }
  if (target === null) return record
  return { ...record, target: { service: target[0], capacity: target[1], state: TARGET_STATES[target[2]] ?? 'gone' } }
}

/** Hash of a record without its VM id, incarnation and version. */
export function contentHash (record: MemberRecord): number {
  return fnv1a(JSON.stringify(contentsOf(record)))
}

/** Encodes an update, in about 40 bytes without and 100 bytes with the record. */
export function packUpdate (update: Update): Uint8Array {
  const { vmId, incarnation, version, liveness, ageMs, hash, record } = update
  const tail = record === undefined ? hash : contentsOf(record)
  return packr.pack([vmId, incarnation, version, LIVENESS.indexOf(liveness), Math.round(ageMs / 1000), tail])
}

/** Decodes an update; undefined when it is malformed. */
export function unpackUpdate (data: Uint8Array): Update | undefined {
  const parsed = updateSchema.safeParse(packr.unpack(data))
  if (!parsed.success) return undefined
  const [vmId, incarnation, version, liveness, ageS, tail] = parsed.data
  const base = { vmId, incarnation, version, liveness: LIVENESS[liveness] ?? 'alive', ageMs: ageS * 1000 }
  if (typeof tail === 'number') return { ...base, hash: tail }
  const record = recordOf(vmId, incarnation, version, tail)
  return { ...base, hash: contentHash(record), record }
}
