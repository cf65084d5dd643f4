import type { Configuration, Member } from '../storage/entry.js'

/** Voters of a configuration. */
export const votersOf = (config: Configuration) => config.members.filter((member) => member.voter)

/** Number of voters that decide. */
export const quorumOf = (config: Configuration) => Math.floor(votersOf(config).length / 2) + 1

/** The greatest value that a quorum of the voters has reached. */
export function reachedByQuorum (config: Configuration, valueOf: (member: Member) => number): number {
  const values = votersOf(config).map(valueOf).sort((a, b) => b - a)
  return values[quorumOf(config) - 1] ?? -Infinity
}

/** What the leader knows about the members when it decides on a change. */
export type MemberView = {
  /** Storage ids of VMs that asked to join and were verified, by VM. */
  joins: Map<string, string>
  /** The member has answered within the lease time; true for the leader itself. */
  isHeard: (storageId: string) => boolean
  /** Most voters; further members stay learners until a voter is gone. */
  voterLimit: number
  /** The voter has been out of contact for so long that a waiting learner takes its place. */
  isGone: (storageId: string) => boolean
  /** The member's log has reached the leader's, but for the last few entries. */
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
  const heard = votersOf(next).filter((member) => view.isHeard(member.storageId)).length
  return heard >= quorumOf(next) ? next : undefined
}

function nextMembers (config: Configuration, view: MemberView): Member[] | undefined {
  const { members } = config
  const without = (gone: Member) => members.filter((member) => member !== gone)
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
      const gone = votersOf(config).find((member) => view.isGone(member.storageId))
      if (gone === undefined) continue
      return without(gone)
    }
    // Two processes that use the same VM id must not push each other out.
    if (!view.isHeard(replaced.storageId)) return without(replaced)
  }
  return undefined
}
