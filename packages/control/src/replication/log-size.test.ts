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

// Guards against a leader whose log grows without limit while its snapshots can't be written.
test('commands are refused while the log is full because snapshots fail, and accepted again afterwards', async (t) => {
  const logBytes = 3 * SNAPSHOT_BYTES
  const cluster = createCluster(1, 32, { snapshotBytes: SNAPSHOT_BYTES, trailingBytes: TRAILING_BYTES, logBytes })
  const leader = await cluster.boot()
  leader.disk.fault = (operation, path) => operation === 'rename' && path.includes('.snap') ? 'EIO' : undefined
  const accepted: string[] = []
  for (let i = 0; i < 60; i++) {
    const cmd = commandOf(i)
    const res = await cluster.propose(leader.vmId, cmd)
    if (res.isOk()) accepted.push(cmd)
    else t.regex(res.error.message, /no snapshot covers, the limit is 60000; check the disk/)
    t.true(leader.log!.status().logBytes <= logBytes + 2 * COMMAND_BYTES)
  }
  t.true(accepted.length < 60)
  leader.disk.fault = undefined
  await cluster.propose(leader.vmId, 'starts a snapshot')
  await cluster.advance(100)
  t.true((await cluster.propose(leader.vmId, 'after')).isOk())
  t.deepEqual(leader.machine.applied.slice(0, accepted.length), accepted)
})

// Guards against a leader that runs out of memory because many large proposals wait, limited by their number only.
test('proposals that wait are bounded by bytes', async (t) => {
  const cluster = createCluster(1, 33, { queueBytes: 10 * COMMAND_BYTES, batchBytes: 2 * COMMAND_BYTES })
  const leader = await cluster.boot()
  const results = await cluster.waitFor(Promise.all(Array.from({ length: 40 }, (_, i) => leader.log!.propose(commandOf(i)))))
  const refused = results.filter((res) => res.isErr())
  t.true(refused.length >= 28 && refused.length < 40, `${refused.length} were refused`)
  for (const res of refused) t.like(res._unsafeUnwrapErr(), { kind: 'refused' })
  t.is(leader.machine.applied.length, 40 - refused.length)
})

// Guards against a command that each replica accepts and none can send on or apply: as JSON or in the heap it is far larger than encoded.
test('a command that is too large in any form is refused before it is written', async (t) => {
  const cluster = createCluster(1, 34, { commandBytes: 200_000, commandHeapBytes: 400_000, commandJsonBytes: 300_000 })
  const leader = await cluster.boot()
  const propose = async (cmd: unknown) => {
    const res = await cluster.propose(leader.vmId, cmd as string)
    return res.isOk() ? 'accepted' : `${res.error.kind}: ${res.error.message}`
  }
  t.regex(await propose('x'.repeat(200_001)), /tooLarge: .* bytes, the limit is 200000/)
  t.regex(await propose('\u0001'.repeat(100_000)), /tooLarge: .* as JSON, the limit is 300000/)
  t.regex(await propose(Array.from({ length: 20_000 }, () => [])), /tooLarge: .* of memory, the limit is 400000/)
  t.is(await propose('x'.repeat(190_000)), 'accepted')
})

// Guards against a command that ends in an exception, which callers see as a failure to try again, because it has no encoded form.
test('a command with an object that has too many properties is refused for good, and later ones are accepted', async (t) => {
  const cluster = createCluster(1, 35)
  const leader = await cluster.boot()
  const properties = (count: number) => Object.fromEntries(Array.from({ length: count }, (_, i) => [`p${i}`, 0]))
  const res = await cluster.propose(leader.vmId, properties(65_536) as unknown as string)
  t.like(res._unsafeUnwrapErr(), { kind: 'tooLarge' })
  t.regex(res._unsafeUnwrapErr().message, /65535 properties/)
  t.true((await cluster.propose(leader.vmId, properties(65_535) as unknown as string)).isOk())
  t.true((await cluster.propose(leader.vmId, 'after')).isOk())
})
