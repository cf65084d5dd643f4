import test from 'ava'
import { createCluster, type Cluster } from './testing/cluster.js'

const SEEDS = ['c1', 'c2', 'c3']
/** Time within which a lost voter must be replaced, in ms. */
const REPLACEMENT_MS = 4000

function voterIds (cluster: Cluster): string[] {
  const members = cluster.leader()?.log?.status().members ?? []
  return members.filter(({ voter }) => voter).map(({ vmId }) => vmId).sort()
}

/** Starts the first five VMs and creates the group with its seeds. */
async function formGroup (cluster: Cluster): Promise<void> {
  for (const vmId of ['c4', 'c2', 'c5', 'c1', 'c3']) await cluster.start(vmId)
  const created = await cluster.waitFor(cluster.vm('c1').log!.init(SEEDS))
  if (created.isErr()) throw new Error(created.error.message)
  await cluster.waitUntil(() => voterIds(cluster).length === 5, 'five voters')
}

function eraseDisk (cluster: Cluster, vmId: string): void {
  cluster.kill(vmId)
  cluster.vm(vmId).disk.erase()
}

// Guards against control VMs outside the seeds that never join, and against a group that needs its seeds to restart: the other members
// find each other only if they have stored the configuration.
test('VMs that know three seeds form one group of five', async (t) => {
  const cluster = createCluster(5, 61, {}, { seeds: SEEDS, voters: 5 })
  await formGroup(cluster)
  t.true((await cluster.propose('c5', 'a')).isOk())
  for (const { vmId } of cluster.vms) cluster.kill(vmId)
  for (const vmId of ['c3', 'c4', 'c5']) await cluster.start(vmId)
  await cluster.waitUntil(() => cluster.leader() !== undefined, 'a leader among the three')
  t.true((await cluster.propose('c4', 'b')).isOk())
  t.deepEqual(cluster.violations, [])
})

// Guards against an accepted entry that is lost when two disks are lost right after it was accepted: it was on too few disks.
test('an accepted entry survives the loss of any two disks while the others restart', async (t) => {
  for (const [first, second] of [['c1', 'c2'], ['c1', 'c4'], ['c4', 'c5']]) {
    const cluster = createCluster(5, 62, {}, { seeds: SEEDS, voters: 5 })
    await formGroup(cluster)
    t.true((await cluster.propose(cluster.leader()!.vmId, 'a')).isOk())
    for (const { vmId } of cluster.vms) vmId === first || vmId === second ? eraseDisk(cluster, vmId) : cluster.kill(vmId)
    for (const { vmId } of cluster.vms) await cluster.start(vmId)
    await cluster.converge()
    t.true(cluster.vms.every(({ machine }) => machine.applied.includes('a')), `${first} and ${second}`)
    t.is(voterIds(cluster).length, 5)
    t.deepEqual(cluster.violations, [])
  }
})

const PAIRS = SEEDS.concat('c4', 'c5').flatMap((first, i, all) => all.slice(i + 1).map((second) => [first, second] as const))
/** Time after the proposal at which the VMs go down, in ms; the entry has been accepted in the later cases. */
const DOWN_AFTER_MS = [0, 5, 20, 60, 200]

// Guards against an accepted entry that is lost when all other VMs lose power at the moment at which two disks are lost: it was accepted
// before enough disks had synced it, or VMs without it form a majority. Learners lose power as well.
test('an accepted entry survives the loss of any two disks while all other VMs lose power, also right after it was sent', async (t) => {
  let accepted = 0
  for (const [i, [first, second]] of PAIRS.entries()) {
    for (const [j, downAfterMs] of DOWN_AFTER_MS.entries()) {
      const cluster = createCluster(6, 64 + i * DOWN_AFTER_MS.length + j, {}, { seeds: SEEDS, voters: 5 })
      await formGroup(cluster)
      await cluster.start('c6')
      await cluster.advance(100)
      const results: boolean[] = []
      cluster.leader()!.log!.propose('a').then((result) => { results.push(result.isOk()) }, () => {})
      await cluster.advance(downAfterMs)
      for (const { vmId } of cluster.vms) {
        cluster.kill(vmId, true)
        if (vmId === first || vmId === second) cluster.vm(vmId).disk.erase()
      }
      const isAccepted = results[0] === true
      if (isAccepted) accepted++
      for (const { vmId } of cluster.vms) await cluster.start(vmId)
      await cluster.waitUntil(() => voterIds(cluster).length === 5, 'five voters again', 30_000)
      t.true((await cluster.propose(cluster.leader()!.vmId, 'b')).isOk())
      const { applied } = cluster.leader()!.machine
      t.true(!isAccepted || applied.includes('a'), `${first} and ${second} after ${downAfterMs} ms: ${applied}`)
      t.deepEqual(cluster.violations, [])
    }
  }
  t.log(`accepted in ${accepted} of ${PAIRS.length * DOWN_AFTER_MS.length} runs`)
  t.true(accepted >= PAIRS.length)
})

// Guards against a permanently lost VM that stays a voter: the group then tolerates fewer further losses.
test('a spare VM waits as a learner and replaces a VM that is lost', async (t) => {
  const cluster = createCluster(7, 63, {}, { seeds: SEEDS, voters: 5 })
  await formGroup(cluster)
  await cluster.start('c6')
  await cluster.advance(REPLACEMENT_MS)
  t.false(voterIds(cluster).includes('c6'))
  cluster.kill('c2')
  await cluster.advance(REPLACEMENT_MS)
  t.deepEqual(voterIds(cluster), ['c1', 'c3', 'c4', 'c5', 'c6'])
  t.deepEqual(cluster.violations, [])
})
