import type { Configuration, Member } from '../storage/entry.js'

/** Voters of a configuration. */
export const votersOf = (config: Configuration) => config.members.filter((member) => member.voter)

/** Number of voters that form a quorum. */
export const quorumOf = (config: Configuration) => Math.floor(votersOf(config).length / 2) + 1

/** The greatest value that a quorum of the voters has reached. */
export function reachedByQuorum (config: Configuration, valueOf: (member: Member) => number): number {
  const values = votersOf(config).map(valueOf).sort((a, b) => b - a)
  return values[quorumOf(config) - 1] ?? -Infinity
}

/** The leader's view of the members, from which it determines configuration changes. */
export type MemberView = {
  /** Verified storage ids of the VMs that requested to join, by VM id. */
  joins: Map<string, string>
  /** The member replied to a message sent within the lease time; true for the leader itself. */
  hasRecentContact: (storageId: string) => boolean
  /** Maximum number of voters; further members stay learners until a voter is lost. */
  voterLimit: number
  /** The voter has been out of contact for so long that a waiting learner may replace it. */
  isReplaceable: (storageId: string) => boolean
  /** The member has all but the last few entries of the leader's log. */
  isCaughtUp: (storageId: string) => boolean
}

/**
 * The next change of the configuration, or undefined. Each change adds or removes one voter at most, so that every quorum of the old
 * configuration shares a member with every quorum of the new one.
 */
export function nextConfiguration (config: Configuration, view: MemberView): Configuration | undefined {
  const change = nextMembers(config, view)
  if (change === undefined) return undefined
  const next = { ...config, members: change }
  const inContact = votersOf(next).filter((member) => view.hasRecentContact(member.storageId)).length
  return inContact >= quorumOf(next) ? next : undefined
}

function nextMembers (config: Configuration, view: MemberView): Member[] | undefined {
  const { members } = config
  const without = (removed: Member) => members.filter((member) => member !== removed)
  for (const [vmId, storageId] of view.joins) {
    if (config.excluded.includes(vmId) || members.some((member) => member.storageId === storageId)) continue
    const stale = members.find((member) => member.vmId === vmId && !member.voter)
    return stale === undefined ? [...members, { vmId, storageId, voter: false }] : without(stale)
  }
  for (const learner of members.filter((member) => !member.voter && view.isCaughtUp(member.storageId))) {
    const replaced = members.find((member) => member.vmId === learner.vmId && member.voter)
    if (replaced === undefined && votersOf(config).length < view.voterLimit) {
      return members.map((member) => member === learner ? { ...member, voter: true } : member)
    }
    if (replaced === undefined) {
      const removed = votersOf(config).find((member) => view.isReplaceable(member.storageId))
      if (removed === undefined) continue
      return without(removed)
    }
    // Two processes that use the same VM id must not replace each other in turn.
    if (!view.hasRecentContact(replaced.storageId)) return without(replaced)
  }
  return undefined
}
