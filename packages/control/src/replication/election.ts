import { quorumOf, votersOf } from './configuration.js'
import { startLeading } from './leader.js'
import type { VoteReply, VoteRequest } from './messages.js'
import { failureOf, lastEntry, ownMember, request, saveTerm, type Replica } from './replica.js'
import { adoptTerm, isBoundToLeader } from './roles.js'
import { startTask } from './tasks.js'

/** Stands for election when no leader has been heard for a random time between the two election timeouts. */
export async function runElections (replica: Replica) {
  const { clock, random, settings } = replica
  let lastTryMs = -Infinity
  while (!replica.closed) {
    const spanMs = settings.electionMinMs + random.next() * (settings.electionMaxMs - settings.electionMinMs)
    for (;;) {
      const isAlone = replica.config !== undefined && votersOf(replica.config).length === 1
      const sinceMs = Math.max(replica.leaderContactMs, lastTryMs)
      const leftMs = (isAlone && lastTryMs === -Infinity ? 0 : sinceMs + spanMs) - clock.nowMs()
      if (replica.closed || leftMs <= 0) break
      await clock.sleep(leftMs)
    }
    lastTryMs = clock.nowMs()
    if (canStand(replica)) await standForElection(replica)
    else if (!replica.closed) await clock.sleep(settings.heartbeatMs)
  }
}

function canStand (replica: Replica): boolean {
  return !replica.closed && replica.role !== 'leader' && ownMember(replica)?.voter === true &&
    failureOf(replica) === undefined && replica.clock.nowMs() >= replica.pausedUntilMs
}

/** Asks for pre-votes, then for votes in a new term, and leads when elected. */
export async function standForElection (replica: Replica) {
  const term = replica.term + 1
  if (!await collectVotes(replica, term, true)) return
  const hasVoted = await replica.lock(async () => {
    if (!canStand(replica) || replica.term + 1 !== term || hasLeader(replica)) return false
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

/** Asks all voters; true as soon as a quorum, this replica included, has granted the vote. */
async function collectVotes (replica: Replica, term: number, pre: boolean): Promise<boolean> {
  const config = replica.config!
  const others = votersOf(config).filter(({ storageId }) => storageId !== replica.self.storageId)
  const needed = quorumOf(config) - 1
  if (needed === 0) return true
  const body: VoteRequest = { kind: 'vote', pre, term, ...lastEntry(replica) }
  return await new Promise<boolean>((resolve) => {
    let granted = 0
    let answered = 0
    for (const { vmId, storageId } of others) {
      startTask(replica, request(replica, vmId, body, storageId).then((reply) => {
        answered++
        if (reply?.kind === 'vote') {
          if (reply.granted) granted++
          else if (reply.term > replica.term) adoptTerm(replica, reply.term)
        }
        if (granted >= needed) resolve(true)
        else if (answered === others.length) resolve(false)
      }))
    }
  })
}

/** Answers a vote request. Needs the lock. */
export async function handleVote (replica: Replica, from: string, req: VoteRequest): Promise<VoteReply> {
  const deny = (): VoteReply => ({ kind: 'vote', term: replica.term, granted: false })
  // A voter that follows a leader denies without taking over the term: leases rely on it, and a returning replica disturbs nobody.
  if (isBoundToLeader(replica) || failureOf(replica) !== undefined) return deny()
  const own = lastEntry(replica)
  const isUpToDate = req.lastTerm > own.lastTerm || (req.lastTerm === own.lastTerm && req.lastIndex >= own.lastIndex)
  if (req.pre) return { kind: 'vote', term: replica.term, granted: isUpToDate && req.term > replica.term }
  if (req.term < replica.term) return deny()
  adoptTerm(replica, req.term)
  const isFree = replica.vote === null || replica.vote === from
  if (isFree && isUpToDate) replica.vote = from
  const isSaved = await saveTerm(replica)
  return { kind: 'vote', term: replica.term, granted: isSaved && isFree && isUpToDate && replica.term === req.term }
}
