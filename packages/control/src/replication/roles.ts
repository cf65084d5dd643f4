import { err } from 'neverthrow'
import { reachedByQuorum } from './configuration.js'
import type { Replica } from './replica.js'

/** Remaining time of the leader lease in ms; 0 without one. */
export function leaseMs (replica: Replica): number {
  const { leadership, config, clock, settings } = replica
  if (leadership === undefined || config === undefined) return 0
  const nowMs = clock.nowMs()
  return Math.max(0, quorumContactMs(replica, nowMs) + settings.leaseMs - nowMs)
}

/** Time up to which a quorum is known to have followed this leader. */
export function quorumContactMs (replica: Replica, nowMs: number): number {
  const { leadership, config, self } = replica
  if (leadership === undefined || config === undefined) return -Infinity
  return reachedByQuorum(config, ({ storageId }) =>
    storageId === self.storageId ? nowMs : leadership.progress.get(storageId)?.contactMs ?? -Infinity)
}

/** Moves to a higher term; the caller saves it before it promises anything. */
export function adoptTerm (replica: Replica, term: number) {
  if (term <= replica.term) return
  stepDown(replica, `term ${term} has begun`)
  replica.term = term
  replica.vote = null
  replica.leaderVmId = undefined
}

/** Becomes a follower. Callers of written entries get an unknown outcome, the others can propose again elsewhere. */
export function stepDown (replica: Replica, reason: string) {
  const { leadership } = replica
  replica.role = 'follower'
  if (leadership === undefined) return
  replica.leadership = undefined
  replica.leaderVmId = undefined
  replica.logger.info({ event: 'leader', group: replica.group, term: leadership.term, leads: false }, `leader steps down: ${reason}`)
  leadership.ended = true
  for (const { resolve } of leadership.waiting.values()) {
    resolve(err({ kind: 'outcomeUnknown', message: `the leader stepped down before the entry was committed (${reason}); resend with the same id` }))
  }
  for (const { resolve } of leadership.proposals) {
    resolve(err({ kind: 'notLeader', message: `the leader stepped down before the entry was written (${reason}); try again` }))
  }
  leadership.queued.notify()
  leadership.written.notify()
  replica.changed.notify()
}

/** A leader was heard within the shortest election timeout, or this replica holds a lease: it votes for nobody else. */
export function isBoundToLeader (replica: Replica): boolean {
  if (replica.role === 'leader') return leaseMs(replica) > 0
  return replica.clock.nowMs() - replica.leaderContactMs < replica.settings.electionMinMs
}
