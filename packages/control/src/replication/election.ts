import { quorumOf, votersOf } from './configuration.js'
import { startLeading } from './leader.js'
import type { VoteReply, VoteRequest } from './messages.js'
import { failureOf, lastEntry, ownMember, sendRequest, saveTerm, type Replica } from './replica.js'
import { adoptTerm, isBoundToLeader } from './roles.js'
import { startTask } from './tasks.js'

/** Starts an election when no message from a leader arrives for a random time between the two election timeouts. */
export async function runElectionTimer (replica: Replica) {
  const { clock, random, settings } = replica
  let lastAttemptMs = -Infinity
  while (!replica.closed) {
    const timeoutMs = settings.electionMinMs + random.next() * (settings.electionMaxMs - settings.electionMinMs)
    for (;;) {
      const isSingleVoter = replica.config !== undefined && votersOf(replica.config).length === 1
      const sinceMs = Math.max(replica.leaderContactMs, lastAttemptMs)
      const remainingMs = (isSingleVoter && lastAttemptMs === -Infinity ? 0 : sinceMs + timeoutMs) - clock.nowMs()
      if (replica.closed || remainingMs <= 0) break
      await clock.sleep(remainingMs)
    }
    lastAttemptMs = clock.nowMs()
    if (canStartElection(replica)) await runElection(replica)
    else if (!replica.closed) await clock.sleep(settings.heartbeatMs)
  }
}

function canStartElection (replica: Replica): boolean {
  return !replica.closed && replica.role !== 'leader' && ownMember(replica)?.voter === true &&
    failureOf(replica) === undefined && replica.clock.nowMs() >= replica.pausedUntilMs
}

/** Requests pre-votes, then votes in a new term, and becomes the leader when elected. */
export async function runElection (replica: Replica) {
  const term = replica.term + 1
  if (!await collectVotes(replica, term, true)) return
  const hasVoted = await replica.lock(async () => {
    if (!canStartElection(replica) || replica.term + 1 !== term || hasLeader(replica)) return false
    replica.term = term
    replica.vote = replica.self.storageId
    replica.role = 'candidate'
    replica.leaderVmId = undefined
    return await saveTerm(replica)
  })
  if (!hasVoted) {
    if (replica.role === 'candidate') replica.role = 'follower'
    return
  }
  const isElected = await collectVotes(replica, term, false)
  if (isElected && replica.term === term && replica.role === 'candidate' && !replica.closed) startLeading(replica)
  else if (replica.role === 'candidate') replica.role = 'follower'
}

const hasLeader = (replica: Replica) => votersOf(replica.config!).length > 1 && isBoundToLeader(replica)

/** Requests the votes of all voters; true as soon as a quorum, including this replica, has granted them. */
async function collectVotes (replica: Replica, term: number, pre: boolean): Promise<boolean> {
  const config = replica.config!
  const others = votersOf(config).filter(({ storageId }) => storageId !== replica.self.storageId)
  const needed = quorumOf(config) - 1
  if (needed === 0) return true
  const body: VoteRequest = { kind: 'vote', pre, term, ...lastEntry(replica) }
  return await new Promise<boolean>((resolve) => {
    let granted = 0
    let replyCount = 0
    for (const { vmId, storageId } of others) {
      startTask(replica, sendRequest(replica, vmId, body, storageId).then((reply) => {
        replyCount++
        if (reply?.kind === 'vote') {
          if (reply.granted) granted++
          else if (reply.term > replica.term) adoptTerm(replica, reply.term)
        }
        if (granted >= needed) resolve(true)
        else if (replyCount === others.length) resolve(false)
      }))
    }
  })
}

/** Handles a vote request. The caller must hold the lock. */
export async function handleVote (replica: Replica, from: string, req: VoteRequest): Promise<VoteReply> {
  const deny = (): VoteReply => ({ kind: 'vote', term: replica.term, granted: false })
  // A voter that follows a leader denies the vote without adopting the term: leases depend on this, and a replica that returns with a
  // higher term can't depose the leader.
  if (isBoundToLeader(replica) || failureOf(replica) !== undefined) return deny()
  const own = lastEntry(replica)
  const isUpToDate = req.lastTerm > own.lastTerm || (req.lastTerm === own.lastTerm && req.lastIndex >= own.lastIndex)
  if (req.pre) return { kind: 'vote', term: replica.term, granted: isUpToDate && req.term > replica.term }
  if (req.term < replica.term) return deny()
  adoptTerm(replica, req.term)
  const isVoteAvailable = replica.vote === null || replica.vote === from
  if (isVoteAvailable && isUpToDate) replica.vote = from
  const isSaved = await saveTerm(replica)
  return { kind: 'vote', term: replica.term, granted: isSaved && isVoteAvailable && isUpToDate && replica.term === req.term }
}
