import test from 'ava'
import { createCluster } from './testing/cluster.js'

const SNAPSHOT_BYTES = 20_000
const TRAILING_BYTES = 10_000
const COMMAND_BYTES = 3000
/** One command above each limit, and those that are committed while a snapshot is written. */
const MAX_LOG_BYTES = SNAPSHOT_BYTES + TRAILING_BYTES + 5 * COMMAND_BYTES

const commandOf = (i: number) => `${i} `.padEnd(COMMAND_BYTES - 100, 'x')

// Guards against a control process that runs out of memory after many large commands: its log was limited by a number of entries only.
test('the log is bounded by bytes on each VM, also on one that restarts and one that comes late', async (t) => {
  const settings = { snapshotBytes: SNAPSHOT_BYTES, trailingBytes: TRAILING_BYTES, segmentBytes: 8000, chunkBytes: 4000 }
  const cluster = createCluster(3, 31, settings)
  const leader = await cluster.boot()
  const [late, restarted] = cluster.vms.filter((vm) => vm !== leader)
  const commands = Array.from({ length: 60 }, (_, i) => commandOf(i))
  for (const [i, cmd] of commands.entries()) {
    if (i === 10) cluster.kill(late!.vmId)
    if (i === 40) await cluster.start(late!.vmId)
    if (i === 50) {
      cluster.kill(restarted!.vmId)
      await cluster.start(restarted!.vmId)
    }
    t.true((await cluster.propose(leader.vmId, cmd)).isOk())
    for (const { vmId, log } of cluster.vms) {
      const bytes = log?.status().logBytes ?? 0
      t.true(bytes <= MAX_LOG_BYTES, `${vmId} has ${bytes} bytes after command ${i}`)
    }
  }
  await cluster.converge()
  for (const { machine } of cluster.vms) t.deepEqual(machine.applied, commands)
  t.deepEqual(cluster.violations, [])
})
