import test from 'ava'
import { createCluster } from './testing/cluster.js'

// Guards against followers that can't take proposals or claim to be current without asking the leader.
test('three replicas elect a leader; a follower forwards proposals and serves current reads', async (t) => {
  const cluster = createCluster(3, 1)
  const leader = await cluster.boot()
  const follower = cluster.vms.find((vm) => vm !== leader)!
  t.is((await cluster.propose(leader.vmId, 'a'))._unsafeUnwrap(), 1)
  t.is((await cluster.propose(follower.vmId, 'b'))._unsafeUnwrap(), 2)
  t.true((await cluster.during(follower.log!.confirmCurrent())).isOk())
  t.deepEqual(follower.machine.applied, ['a', 'b'])
  t.is(follower.log!.status().leader, leader.log!.status().leader)
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against a second group, and against a first configuration that misses a member.
test('init is refused while a member is down, when a peer is in a group, and when two VMs try at once', async (t) => {
  const cluster = createCluster(3, 2)
  await cluster.start('c1')
  await cluster.start('c2')
  t.regex((await cluster.during(cluster.vm('c1').log!.init()))._unsafeUnwrapErr().message, /"c3" does not answer/)
  await cluster.start('c3')
  const both = await cluster.during(Promise.all([cluster.vm('c1').log!.init(), cluster.vm('c2').log!.init()]))
  t.true(both.filter((res) => res.isOk()).length <= 1)
  await cluster.during(cluster.vm('c1').log!.init())
  await cluster.until(() => cluster.leader() !== undefined, 'a leader')
  cluster.kill('c3')
  cluster.vm('c3').disk.erase()
  await cluster.start('c3')
  t.regex((await cluster.during(cluster.vm('c3').log!.init()))._unsafeUnwrapErr().message, /already belongs to a group|exists already/)
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against stale reads, edits accepted on the minority side, and a returning replica that deposes the leader.
test('an isolated leader refuses entries and reads, and returns without disturbing the new leader', async (t) => {
  const cluster = createCluster(3, 3)
  const old = await cluster.boot()
  await cluster.propose(old.vmId, 'before')
  cluster.network.isolate(old.vmId)
  t.is((await cluster.propose(old.vmId, 'lost'))._unsafeUnwrapErr().kind, 'outcomeUnknown')
  t.is((await cluster.propose(old.vmId, 'refused'))._unsafeUnwrapErr().kind, 'notLeader')
  t.true((await cluster.during(old.log!.confirmCurrent())).isErr())
  await cluster.until(() => cluster.leader() !== undefined, 'a second leader')
  const next = cluster.leader()!
  t.not(next, old)
  await cluster.propose(next.vmId, 'after')
  await cluster.advance(60_000)
  const { term } = next.log!.status()
  cluster.network.heal()
  await cluster.converge()
  t.is(cluster.leader(), next)
  t.is(next.log!.status().term, term)
  t.deepEqual(old.machine.applied, ['before', 'after'])
  t.deepEqual(cluster.violations, [])
})

// Guards against a leader that keeps sending but hears nothing, and against a follower that hears nothing but can vote.
test('one-way cuts end the lease of a deaf leader and do not depose a heard one', async (t) => {
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
  await cluster.until(() => (cluster.leader() ?? leader) !== leader, 'another leader', 20_000)
  cluster.network.heal()
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against a frozen process that resumes and still believes that it leads.
test('a frozen leader that resumes holds no lease', async (t) => {
  const cluster = createCluster(3, 5)
  const old = await cluster.boot()
  old.process.isFrozen = true
  await cluster.until(() => cluster.leader() !== undefined, 'another leader')
  await cluster.propose(cluster.leader()!.vmId, 'a')
  old.process.isFrozen = false
  t.is(old.log!.status().leaseMs, 0)
  // Both calls are made before any message tells it about the new leader.
  const current = old.log!.confirmCurrent()
  const proposed = old.log!.propose('b')
  t.true((await cluster.during(current)).isErr())
  t.true((await cluster.during(proposed)).isErr())
  await cluster.converge()
  t.deepEqual(old.machine.applied, ['a'])
  t.deepEqual(cluster.violations, [])
})

// Guards against repairs that lose accepted entries or need the disk that was lost.
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
    await cluster.until(() => cluster.leader() !== undefined, 'a leader without the second replica')
    t.true((await cluster.propose(cluster.leader()!.vmId, 'last')).isOk())
    await cluster.start(second)
    await cluster.converge()
    for (const { machine } of cluster.vms) t.deepEqual(machine.applied, [...commands, 'last'])
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against restarts that lose entries or apply them twice.
test('all replicas restart after hundreds of entries and several snapshots', async (t) => {
  const cluster = createCluster(3, 7, { snapshotEntries: 150, trailingEntries: 20, segmentBytes: 3000 })
  const leader = await cluster.boot()
  const commands = Array.from({ length: 600 }, (_, i) => `entry ${i}`)
  for (let i = 0; i < commands.length; i += 30) {
    await cluster.during(Promise.all(commands.slice(i, i + 30).map((cmd) => leader.log!.propose(cmd))))
  }
  for (const { vmId } of cluster.vms) cluster.kill(vmId, true)
  for (const { vmId } of cluster.vms) await cluster.start(vmId)
  await cluster.converge()
  for (const { machine } of cluster.vms) t.deepEqual(machine.applied, commands)
  t.deepEqual(cluster.violations, [])
})

// Guards against an excluded VM that pushes itself back in.
test('an excluded VM stays out until it is readmitted', async (t) => {
  const cluster = createCluster(3, 8)
  const leader = await cluster.boot()
  const out = cluster.vms.find((vm) => vm !== leader)!
  await cluster.propose(leader.vmId, 'a')
  t.true((await cluster.during(leader.log!.exclude(out.vmId))).isOk())
  await cluster.advance(5000)
  t.deepEqual(leader.log!.status().members.length, 2)
  t.is((await cluster.during(leader.log!.exclude(leader.vmId)))._unsafeUnwrapErr().kind, 'refused')
  t.true((await cluster.during(leader.log!.readmit(out.vmId))).isOk())
  await cluster.converge()
  t.deepEqual(cluster.violations, [])
})

// Guards against a caller that is told "not appended" by one copy of its message while another copy was appended.
test('copies of a forwarded proposal have one effect and no contradicting answers', async (t) => {
  const cluster = createCluster(3, 9)
  const leader = await cluster.boot()
  await cluster.propose(leader.vmId, 'a')
  const { storageId } = cluster.vms.find((vm) => vm !== leader)!.log!.status()
  const { term } = leader.log!.status()
  const forward = async (requestId: string, cmd: string) => {
    const body = { kind: 'forward' as const, requestId, term, cmd }
    const reply = await cluster.during(leader.log!.handle({ group: 'lists', from: { vmId: 'x', storageId }, body }))
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
  t.is(await forward('3', 'd'), 'outcomeUnknown', 'the process before the restart may have taken it')
  cluster.kill(leader.vmId)
  leader.disk.erase()
  await cluster.start(leader.vmId)
  t.is(await forward('4', 'e'), 'outcomeUnknown', 'so may the one before the disk was lost')
  await cluster.converge()
  t.deepEqual(leader.machine.applied, ['a', 'b'])
})
