import test from 'ava'
import { createCluster } from './testing/cluster.js'

/** A group whose leader is known, and a vote request to a follower from the other follower. */
async function createVoters (seed: number) {
  const cluster = createCluster(3, seed)
  const leader = await cluster.boot()
  const [voter, candidate] = cluster.vms.filter((vm) => vm !== leader)
  await cluster.converge()
  const { term, lastIndex } = leader.log!.status()
  const ask = async (from: string, ahead: number, pre = false) => {
    const reply = await cluster.during(voter!.log!.handle({
      group: 'lists',
      from: { vmId: from, storageId: cluster.vm(from).log!.status().storageId },
      to: voter!.log!.status().storageId,
      body: { kind: 'vote', pre, term: term + ahead, lastIndex, lastTerm: term }
    }))
    return reply.kind === 'vote' && reply.granted
  }
  return { cluster, leader, voter: voter!, candidate: candidate!, ask }
}

// Guards against a second leader while the first one holds a lease.
test('a voter denies votes while it hears a leader, also right after its restart', async (t) => {
  const { cluster, voter, candidate, ask } = await createVoters(41)
  t.false(await ask(candidate.vmId, 1, true))
  t.false(await ask(candidate.vmId, 1))
  const { term } = voter.log!.status()
  cluster.network.isolate(voter.vmId)
  cluster.kill(voter.vmId)
  await cluster.start(voter.vmId)
  t.false(await ask(candidate.vmId, 1))
  t.is(voter.log!.status().term, term)
  await cluster.advance(590)
  t.true(await ask(candidate.vmId, 1))
})

// Guards against two votes in one term.
test('a vote survives a restart', async (t) => {
  const { cluster, leader, voter, candidate, ask } = await createVoters(42)
  cluster.network.isolate(voter.vmId)
  await cluster.advance(700)
  t.true(await ask(candidate.vmId, 5))
  cluster.kill(voter.vmId)
  await cluster.start(voter.vmId)
  await cluster.advance(600)
  t.false(await ask(leader.vmId, 5))
  t.true(await ask(candidate.vmId, 5))
})
