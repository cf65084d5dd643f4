import test from 'ava'
import { createCluster, type Cluster } from './testing/cluster.js'

const SEEDS = ['c1', 'c2', 'c3']
/** Time within which a successor must be a voter, in ms. */
const SUCCESSION_MS = 4000

function voterIds (cluster: Cluster): string[] {
  const members = cluster.leader()?.log?.status().members ?? []
  return members.filter(({ voter }) => voter).map(({ vmId }) => vmId).sort()
}

/** Starts the first five VMs and forms the group by its seeds. */
async function form (cluster: Cluster): Promise<void> {
  for (const vmId of ['c4', 'c2', 'c5', 'c1', 'c3']) await cluster.start(vmId)
  const created = await cluster.during(cluster.vm('c1').log!.init(SEEDS))
  if (created.isErr()) throw new Error(created.error.message)
  await cluster.until(() => voterIds(cluster).length === 5, 'five voters')
}

function wipe (cluster: Cluster, vmId: string): void {
  cluster.kill(vmId)
  cluster.vm(vmId).disk.erase()
}

// Guards against control VMs that are not among the seeds staying outside, and against a group that only its seeds can find again.
test('VMs that know three seeds form one group of five', async (t) => {
  const cluster = createCluster(5, 61, {}, { seeds: SEEDS, voters: 5 })
  await form(cluster)
  t.true((await cluster.propose('c5', 'a')).isOk())
  for (const { vmId } of cluster.vms) cluster.kill(vmId)
  for (const vmId of ['c3', 'c4', 'c5']) await cluster.start(vmId)
  await cluster.until(() => cluster.leader() !== undefined, 'a leader among the three')
  t.true((await cluster.propose('c4', 'b')).isOk())
  t.deepEqual(cluster.violations, [])
})

// Guards against an accepted entry that is lost with two disks right after it was accepted.
test('an accepted entry survives the loss of any two disks while the others restart', async (t) => {
  for (const [first, second] of [['c1', 'c2'], ['c1', 'c4'], ['c4', 'c5']]) {
    const cluster = createCluster(5, 62, {}, { seeds: SEEDS, voters: 5 })
    await form(cluster)
    t.true((await cluster.propose(cluster.leader()!.vmId, 'a')).isOk())
    for (const { vmId } of cluster.vms) vmId === first || vmId === second ? wipe(cluster, vmId) : cluster.kill(vmId)
    for (const { vmId } of cluster.vms) await cluster.start(vmId)
    await cluster.converge()
    t.true(cluster.vms.every(({ machine }) => machine.applied.includes('a')), `${first} and ${second}`)
    t.is(voterIds(cluster).length, 5)
    t.deepEqual(cluster.violations, [])
  }
})

// Guards against a VM that is gone for good keeping its vote, so that the group can't bear the next losses.
test('an empty VM takes the place of one that is gone, and a spare one waits', async (t) => {
  const cluster = createCluster(7, 63, {}, { seeds: SEEDS, voters: 5 })
  await form(cluster)
  await cluster.start('c6')
  await cluster.advance(SUCCESSION_MS)
  t.false(voterIds(cluster).includes('c6'))
  cluster.kill('c2')
  await cluster.advance(SUCCESSION_MS)
  t.deepEqual(voterIds(cluster), ['c1', 'c3', 'c4', 'c5', 'c6'])
  t.deepEqual(cluster.violations, [])
})
