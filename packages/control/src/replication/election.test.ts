import test from 'ava'
import { createCluster } from './testing/cluster.js'

/** Creates a group with a leader; `requestVote` sends a vote request to the follower `voter`. */
async function createVoters (seed: number) {
  const cluster = createCluster(3, seed)
  const leader = await cluster.boot()
  const [voter, candidate] = cluster.vms.filter((vm) => vm !== leader)
  await cluster.converge()
  const { term, lastIndex } = leader.log!.status()
  const requestVote = async (from: string, termIncrease: number, pre = false, missingEntries = 0) => {
    const reply = await cluster.waitFor(voter!.log!.handle({
      group: 'lists',
      from: { vmId: from, storageId: cluster.vm(from).log!.status().storageId },
      to: voter!.log!.status().storageId,
      body: { kind: 'vote', pre, term: term + termIncrease, lastIndex: lastIndex - missingEntries, lastTerm: term }
    }))
    return reply.kind === 'vote' && reply.granted
  }
  return { cluster, leader, voter: voter!, candidate: candidate!, requestVote }
}

// Guards against a second leader while the first one holds a lease: a voter grants a vote although it is in contact with the leader, or
// after a restart in which it lost the time of that contact.
test('a voter denies votes while it is in contact with a leader, also right after its restart', async (t) => {
  const { cluster, voter, candidate, requestVote } = await createVoters(41)
  t.false(await requestVote(candidate.vmId, 1, true))
  t.false(await requestVote(candidate.vmId, 1))
  const { term } = voter.log!.status()
  cluster.network.isolate(voter.vmId)
  cluster.kill(voter.vmId)
  await cluster.start(voter.vmId)
  t.false(await requestVote(candidate.vmId, 1))
  t.is(voter.log!.status().term, term)
  await cluster.advance(590)
  t.true(await requestVote(candidate.vmId, 1))
})

// Guards against two votes in one term: a voter restarts and is asked for its vote by another candidate.
test('a vote survives a restart', async (t) => {
  const { cluster, leader, voter, candidate, requestVote } = await createVoters(42)
  cluster.network.isolate(voter.vmId)
  await cluster.advance(700)
  t.false(await requestVote(candidate.vmId, 4, false, 1), 'a candidate whose log is behind')
  t.true(await requestVote(candidate.vmId, 5))
  cluster.kill(voter.vmId)
  await cluster.start(voter.vmId)
  await cluster.advance(600)
  t.false(await requestVote(leader.vmId, 5))
  t.true(await requestVote(candidate.vmId, 5))
})

// Guards against acknowledging entries after a gap or after an entry that the leader doesn't have: the log lacks earlier entries, or
// ends with an uncommitted entry of a former leader.
test('an append is refused unless the entry before it agrees', async (t) => {
  const { cluster, leader, voter } = await createVoters(43)
  const { storageId, term, lastIndex } = leader.log!.status()
  const append = async (prevIndex: number, prevTerm: number) => {
    const body = { kind: 'append' as const, term, prevIndex, prevTerm, entries: [], commitIndex: 0 }
    const reply = await cluster.waitFor(voter.log!.handle({ group: 'lists', from: { vmId: leader.vmId, storageId }, body }))
    return reply.kind === 'append' && reply.ok
  }
  t.true(await append(lastIndex, term))
  t.false(await append(lastIndex + 1, term))
  cluster.network.isolate(leader.vmId)
  await cluster.waitFor(leader.log!.propose('uncommitted'))
  const last = leader.log!.status().lastIndex
  const { log } = leader
  const from = { vmId: voter.vmId, storageId: voter.log!.status().storageId }
  const body = { kind: 'append' as const, term: term + 9, prevIndex: last, prevTerm: term + 8, entries: [], commitIndex: last }
  t.like(await cluster.waitFor(log!.handle({ group: 'lists', from, body })), { kind: 'append', ok: false })
  t.is(log!.status().commitIndex, last - 1)
})
