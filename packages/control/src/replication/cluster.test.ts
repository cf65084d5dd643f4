import test from 'ava'
import { createCluster } from './testing/cluster.js'

// Guards against followers that refuse proposals, or that confirm a read as current without the leader's read index: their log may be
// behind the leader's.
test('three replicas elect a leader; a follower forwards proposals and serves current reads', async (t) => {
  const cluster = createCluster(3, 1)
  const leader = await cluster.boot()
  const follower = cluster.vms.find((vm) => vm !== leader)!
  t.is((await cluster.propose(leader.vmId, 'a'))._unsafeUnwrap(), 1)
  t.is((await cluster.propose(follower.vmId, 'b'))._unsafeUnwrap(), 2)
  t.true((await cluster.waitFor(follower.log!.confirmCurrent())).isOk())
  t.deepEqual(follower.machine.applied, ['a', 'b'])
  t.is(follower.log!.status().leader, leader.log!.status().leader)
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against a second group, and against a first configuration that misses a member: init runs while a member is down, on two VMs
// at once, and on an erased VM of an existing group.
test('init is refused while a member is down, when a peer is in a group, and when two VMs try at once', async (t) => {
  const cluster = createCluster(3, 2)
  await cluster.start('c1')
  await cluster.start('c2')
  t.regex((await cluster.waitFor(cluster.vm('c1').log!.init()))._unsafeUnwrapErr().message, /"c3" does not answer/)
  await cluster.start('c3')
  const both = await cluster.waitFor(Promise.all([cluster.vm('c1').log!.init(), cluster.vm('c2').log!.init()]))
  t.true(both.filter((res) => res.isOk()).length <= 1)
  await cluster.waitFor(cluster.vm('c1').log!.init())
  await cluster.waitUntil(() => cluster.leader() !== undefined, 'a leader')
  cluster.kill('c3')
  cluster.vm('c3').disk.erase()
  await cluster.start('c3')
  t.regex((await cluster.waitFor(cluster.vm('c3').log!.init()))._unsafeUnwrapErr().message, /already belongs to a group|exists already/)
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against a repeated init, after a lost reply, that is refused by a VM that has not yet received the first entry of the group.
test('init on a VM whose peers are in a group reports that the group exists', async (t) => {
  for (let seed = 1; seed <= 10; seed++) {
    const cluster = createCluster(3, seed)
    await cluster.boot()
    cluster.kill('c3')
    cluster.vm('c3').disk.erase()
    await cluster.start('c3')
    t.is((await cluster.waitFor(cluster.vm('c3').log!.init()))._unsafeUnwrapErr().kind, 'exists', `seed ${seed}`)
    await cluster.converge()
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against stale reads, entries accepted by a leader that is cut off from both peers, and a replica that returns after failed
// elections with a higher term and deposes the new leader.
test('an isolated leader refuses entries and reads, and returns without disturbing the new leader', async (t) => {
  const cluster = createCluster(3, 3)
  const oldLeader = await cluster.boot()
  await cluster.propose(oldLeader.vmId, 'before')
  cluster.network.isolate(oldLeader.vmId)
  t.is((await cluster.propose(oldLeader.vmId, 'lost'))._unsafeUnwrapErr().kind, 'outcomeUnknown')
  t.is((await cluster.propose(oldLeader.vmId, 'refused'))._unsafeUnwrapErr().kind, 'notLeader')
  t.true((await cluster.waitFor(oldLeader.log!.confirmCurrent())).isErr())
  await cluster.waitUntil(() => cluster.leader() !== undefined, 'a second leader')
  const next = cluster.leader()!
  t.not(next, oldLeader)
  await cluster.propose(next.vmId, 'after')
  await cluster.advance(60_000)
  const { term } = next.log!.status()
  cluster.network.heal()
  await cluster.converge()
  t.is(cluster.leader(), next)
  t.is(next.log!.status().term, term)
  t.deepEqual(oldLeader.machine.applied, ['before', 'after'])
  t.deepEqual(cluster.violations, [])
})

// Guards against a leader that keeps its lease although only its own messages arrive, and against a follower that receives nothing from
// the leader and deposes it, as its vote requests still arrive.
test('one-way cuts end the lease of a leader that receives no replies, and do not depose a leader that reaches a quorum', async (t) => {
  const cluster = createCluster(3, 4)
  const leader = await cluster.boot()
  const [one, two] = cluster.vms.filter((vm) => vm !== leader)
  const { term } = leader.log!.status()
  cluster.network.cut(leader.vmId, one!.vmId)
  await cluster.advance(10_000)
  t.is(cluster.leader(), leader)
  t.is(leader.log!.status().term, term)
  cluster.network.heal()
  cluster.network.cut(one!.vmId, leader.vmId)
  cluster.network.cut(two!.vmId, leader.vmId)
  await cluster.waitUntil(() => (cluster.leader() ?? leader) !== leader, 'another leader', 20_000)
  cluster.network.heal()
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against a leader that accepts proposals or reads after its process was frozen: meanwhile another leader was elected, and no
// message from it has arrived yet.
test('a frozen leader that resumes holds no lease', async (t) => {
  const cluster = createCluster(3, 5)
  const oldLeader = await cluster.boot()
  oldLeader.process.isFrozen = true
  await cluster.waitUntil(() => cluster.leader() !== undefined, 'another leader')
  await cluster.propose(cluster.leader()!.vmId, 'a')
  oldLeader.process.isFrozen = false
  t.is(oldLeader.log!.status().leaseMs, 0)
  // Both calls are made before any message about the new leader arrives.
  const current = oldLeader.log!.confirmCurrent()
  const proposed = oldLeader.log!.propose('b')
  t.true((await cluster.waitFor(current)).isErr())
  t.true((await cluster.waitFor(proposed)).isErr())
  await cluster.converge()
  t.deepEqual(oldLeader.machine.applied, ['a'])
  t.deepEqual(cluster.violations, [])
})

// Guards against polls of nodes that are confirmed by the lease of a leader whose VM was suspended: its monotonic clock did not count
// that time.
test('a leader that resumes from a suspension holds no lease', async (t) => {
  const cluster = createCluster(3, 6)
  const oldLeader = await cluster.boot()
  cluster.suspend(oldLeader.vmId)
  await cluster.waitUntil(() => cluster.leader() !== undefined, 'another leader')
  await cluster.propose(cluster.leader()!.vmId, 'a')
  cluster.resume(oldLeader.vmId)
  t.is(oldLeader.log!.status().leaseMs, 0)
  t.true((await cluster.waitFor(oldLeader.log!.confirmLeased())).isErr())
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against a leader that steps down, or loses its lease for good, when its wall clock is set.
test('a wall clock that is set forward or back leaves the leader in office', async (t) => {
  const cluster = createCluster(3, 6)
  const leader = await cluster.boot()
  const { term } = leader.log!.status()
  for (const stepMs of [60_000, -120_000]) {
    leader.process.clock.stepWall(stepMs)
    await cluster.advance(2000)
    t.is(cluster.leader(), leader)
    t.is(leader.log!.status().term, term)
    t.true((await cluster.waitFor(leader.log!.confirmLeased())).isOk())
  }
})

// Guards against stale reads from a leader whose VM was suspended: its monotonic clock did not count that time, so that its lease seems
// valid, while another leader has accepted entries. Wall clocks are no protection, as they may have been set back meanwhile.
for (const wallStepMs of [0, -10_000]) {
  test(`a leader that resumes from a suspension confirms no read; its wall clock was set by ${wallStepMs} ms`, async (t) => {
    const cluster = createCluster(3, 6)
    const oldLeader = await cluster.boot()
    cluster.suspend(oldLeader.vmId)
    await cluster.waitUntil(() => cluster.leader() !== undefined, 'another leader')
    await cluster.propose(cluster.leader()!.vmId, 'a')
    oldLeader.process.clock.stepWall(wallStepMs)
    cluster.resume(oldLeader.vmId)
    // The read is made before any message about the new leader arrives.
    const current = await cluster.waitFor(oldLeader.log!.confirmCurrent())
    t.true(current.isErr() || oldLeader.machine.applied.includes('a'))
    await cluster.converge()
    t.deepEqual(oldLeader.machine.applied, ['a'])
  })
}

// Guards against repairs that lose accepted entries or need the lost disk: after the first replica has rejoined with an empty disk, a
// second disk is lost, so the entries must be on the repaired replica.
test('a lost disk is replaced, after which any second replica may be lost with its disk', async (t) => {
  for (const second of ['c1', 'c2', 'c3']) {
    const cluster = createCluster(3, 6, { snapshotEntries: 40, trailingEntries: 5, chunkBytes: 100 })
    const leader = await cluster.boot()
    const commands = Array.from({ length: 90 }, (_, i) => `entry ${i}`)
    const lost = cluster.vms.find((vm) => vm !== leader)!
    for (const cmd of commands.slice(0, 60)) await cluster.propose(leader.vmId, cmd)
    cluster.kill(lost.vmId)
    lost.disk.erase()
    await cluster.start(lost.vmId)
    t.is(lost.log?.status().role, 'outsider')
    for (const cmd of commands.slice(60)) await cluster.propose(cluster.leader()!.vmId, cmd)
    await cluster.converge()
    t.deepEqual(cluster.leader()!.log!.status().members.map(({ vmId }) => vmId).sort(), ['c1', 'c2', 'c3'])

    cluster.kill(second)
    cluster.vm(second).disk.erase()
    await cluster.waitUntil(() => cluster.leader() !== undefined, 'a leader without the second replica')
    t.true((await cluster.propose(cluster.leader()!.vmId, 'last')).isOk())
    await cluster.start(second)
    await cluster.converge()
    for (const { machine } of cluster.vms) t.deepEqual(machine.applied, [...commands, 'last'])
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against restarts that lose entries or apply them twice: all processes are killed at once, and each restores its latest snapshot
// and then applies the entries of its log.
test('all replicas restart after hundreds of entries and several snapshots', async (t) => {
  const cluster = createCluster(3, 7, { snapshotEntries: 150, trailingEntries: 20, segmentBytes: 3000 })
  const leader = await cluster.boot()
  const commands = Array.from({ length: 600 }, (_, i) => `entry ${i}`)
  for (let i = 0; i < commands.length; i += 30) {
    await cluster.waitFor(Promise.all(commands.slice(i, i + 30).map((cmd) => leader.log!.propose(cmd))))
  }
  for (const { vmId } of cluster.vms) cluster.kill(vmId, true)
  for (const { vmId } of cluster.vms) await cluster.start(vmId)
  await cluster.converge()
  for (const { machine } of cluster.vms) t.deepEqual(machine.applied, commands)
  t.deepEqual(cluster.violations, [])
})

// Guards against an excluded VM that becomes a member again: its process keeps running and sends join requests.
test('an excluded VM stays out until it is readmitted', async (t) => {
  const cluster = createCluster(3, 8)
  const leader = await cluster.boot()
  const excludedVm = cluster.vms.find((vm) => vm !== leader)!
  await cluster.propose(leader.vmId, 'a')
  t.true((await cluster.waitFor(leader.log!.exclude(excludedVm.vmId))).isOk())
  await cluster.advance(5000)
  t.deepEqual(leader.log!.status().members.length, 2)
  t.is((await cluster.waitFor(leader.log!.exclude(leader.vmId)))._unsafeUnwrapErr().kind, 'refused')
  t.true((await cluster.waitFor(leader.log!.readmit(excludedVm.vmId))).isOk())
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against a caller that receives "not appended" for one copy of its message while another copy was appended: copies arrive at
// once, after the leadership ended, and after the leader restarted or lost its disk.
test('copies of a forwarded proposal have one effect and no contradicting replies', async (t) => {
  const cluster = createCluster(3, 9)
  const leader = await cluster.boot()
  await cluster.propose(leader.vmId, 'a')
  const { storageId } = cluster.vms.find((vm) => vm !== leader)!.log!.status()
  const { term } = leader.log!.status()
  const forward = async (requestId: string, cmd: string) => {
    const body = { kind: 'forward' as const, requestId, term, cmd }
    const reply = await cluster.waitFor(leader.log!.handle({ group: 'lists', from: { vmId: 'x', storageId }, body }))
    return reply.kind === 'forward' ? reply.status : reply.kind
  }
  t.deepEqual(await Promise.all([forward('1', 'b'), forward('1', 'b')]), ['ok', 'ok'])
  t.is(await forward('1', 'b'), 'outcomeUnknown')
  cluster.network.isolate(leader.vmId)
  await cluster.advance(3000)
  t.is(await forward('1', 'b'), 'outcomeUnknown')
  t.is(await forward('2', 'c'), 'notLeader')
  cluster.network.heal()
  cluster.kill(leader.vmId)
  await cluster.start(leader.vmId)
  t.is(await forward('3', 'd'), 'outcomeUnknown', 'the process before the restart may have accepted the proposal')
  cluster.kill(leader.vmId)
  leader.disk.erase()
  await cluster.start(leader.vmId)
  t.is(await forward('4', 'e'), 'outcomeUnknown', 'the process before the loss of the disk may have accepted the proposal')
  await cluster.converge()
  t.deepEqual(leader.machine.applied, ['a', 'b'])
})

// Guards against an entry on which the leader fails while it writes it to its log, and after it each further leader that the operator asks.
test('a deeply nested command is refused, and the group goes on', async (t) => {
  const cluster = createCluster(3, 10)
  const leader = await cluster.boot()
  for (const levels of [100, 1500, 2000, 2500, 2690, 2700, 2710, 3000, 10_000]) {
    const cmd = JSON.parse('['.repeat(levels) + ']'.repeat(levels)) as string
    t.is((await cluster.propose(leader.vmId, cmd))._unsafeUnwrapErr().kind, 'refused', `${levels} levels`)
  }
  t.true((await cluster.propose(leader.vmId, 'a')).isOk())
  t.is(cluster.leader(), leader)
  t.deepEqual(cluster.violations, [])
})
