import { err } from 'neverthrow'
import { reachedByQuorum } from './configuration.js'
import type { Progress, Replica } from './replica.js'

/** Remaining time of the leader lease in ms; 0 without one. */
export function leaseMs (replica: Replica): number {
  const { leadership, config, clock, settings } = replica
  if (leadership === undefined || config === undefined) return 0
  const nowMs = clock.nowMs()
  const wallMs = clock.wallMs()
  // The monotonic clock stops while this VM is suspended, the wall clock may be set back; the longer of the two times counts.
  const ageMs = quorumAgeMs(replica, ({ contactMs, contactWallMs }) => Math.max(nowMs - contactMs, wallMs - contactWallMs))
  return Math.max(0, settings.leaseMs - ageMs)
}

/** Time on the monotonic clock since a quorum is known to have followed this leader. */
export function quorumSilenceMs (replica: Replica): number {
  const nowMs = replica.clock.nowMs()
  return quorumAgeMs(replica, ({ contactMs }) => nowMs - contactMs)
}

/** The age of the latest contact with a quorum, including this replica. */
const quorumAgeMs = (replica: Replica, ageMs: (progress: Progress) => number): number =>
  -reachedByMembers(replica, 0, (progress) => -ageMs(progress))

/** The greatest value that a quorum has reached, from this leader's own and the progress of the others; -Infinity without a leadership. */
export function reachedByMembers (replica: Replica, ownValue: number, valueOf: (progress: Progress) => number): number {
  const { leadership, config, self } = replica
  if (leadership === undefined || config === undefined) return -Infinity
  return reachedByQuorum(config, ({ storageId }) => {
    if (storageId === self.storageId) return ownValue
    const progress = leadership.progress.get(storageId)
    return progress === undefined ? -Infinity : valueOf(progress)
  })
}

/** Adopts a higher term; the caller must save it before it acknowledges anything in that term. */
export function adoptTerm (replica: Replica, term: number) {
  if (term <= replica.term) return
  stepDown(replica, `term ${term} has begun`)
  replica.term = term
  replica.vote = null
  replica.leaderVmId = undefined
}

/** Becomes a follower. The outcome of written entries is reported as unknown; unwritten ones can be proposed again to the new leader. */
export function stepDown (replica: Replica, reason: string) {
  const { leadership } = replica
  replica.role = 'follower'
  if (leadership === undefined) return
  replica.leadership = undefined
  replica.leaderVmId = undefined
  replica.logger.info({ event: 'leader', group: replica.group, term: leadership.term, leads: false }, `leader steps down: ${reason}`)
  leadership.ended = true
  for (const { resolve } of leadership.awaitingCommit.values()) {
    resolve(err({ kind: 'outcomeUnknown', message: `the leader stepped down before the entry was committed (${reason}); resend with the same id` }))
  }
  for (const { resolve } of leadership.queuedProposals) {
    resolve(err({ kind: 'notLeader', message: `the leader stepped down before the entry was written (${reason}); try again` }))
  }
  leadership.proposalQueued.notify()
  leadership.sendDue.notify()
  leadership.memberReplied.notify()
  replica.stateChanged.notify()
}

/** True after a message from a leader within the minimum election timeout, or while this replica holds a lease: it then grants no votes. */
export function isBoundToLeader (replica: Replica): boolean {
  if (replica.role === 'leader') return leaseMs(replica) > 0
  return replica.clock.nowMs() - replica.leaderContactMs < replica.settings.electionMinMs
}
