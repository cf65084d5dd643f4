import { mkdtemp, readdir, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import type { ReplicationTransport } from './messages.js'
import { createReplicatedLog, type ControlLog } from './replicated-log.js'
import type { ReplicationSettings } from './settings.js'
import { createRecorder } from './testing/recorder.js'

const unreachable: ReplicationTransport = { send: () => Promise.reject(new Error('no route')) }

async function openSingle (dir: string, settings: Partial<ReplicationSettings> = {}) {
  const machine = createRecorder()
  const log = (await createReplicatedLog({
    group: 'lists', vmId: 'c1', peers: [{ vmId: 'c1', address: '127.0.0.1:1' }], dir, machine, transport: unreachable, settings
  }))._unsafeUnwrap()
  return { log, machine }
}

async function becomesCurrent (log: ControlLog<string, number>) {
  while ((await log.confirmCurrent()).isErr()) await new Promise((resolve) => setTimeout(resolve, 5))
}

// Guards against a log that exists only in memory, and against entries lost by snapshots, segment changes and restarts, on the file
// system of the operating system instead of the fake disk.
test('a single replica keeps accepted entries in real files over restarts', async (t) => {
  const root = await mkdtemp(join(tmpdir(), 'orioleslip-'))
  t.teardown(() => rm(root, { recursive: true }))
  const dir = join(root, 'data', 'lists')
  // The proposal timeout is long because a sync takes seconds on a busy machine.
  const settings = { snapshotEntries: 100, trailingEntries: 10, segmentBytes: 2000, proposeTimeoutMs: 100_000 }
  const first = await openSingle(dir, settings)
  t.is(first.log.status().role, 'outsider')
  t.is((await first.log.propose('early'))._unsafeUnwrapErr().kind, 'notLeader')
  t.true((await first.log.init()).isOk())
  await becomesCurrent(first.log)
  const commands = Array.from({ length: 450 }, (_, i) => `entry ${i}`)
  for (let i = 0; i < commands.length; i += 45) {
    const replies = await Promise.all(commands.slice(i, i + 45).map((cmd) => first.log.propose(cmd)))
    t.deepEqual(replies.map((reply) => reply._unsafeUnwrap()), Array.from({ length: 45 }, (_, j) => i + j + 1))
  }
  t.is((await first.log.init())._unsafeUnwrapErr().kind, 'exists')
  const { storageId } = first.log.status()
  await first.log.close()
  t.is((await first.log.propose('late'))._unsafeUnwrapErr().kind, 'refused')

  const second = await openSingle(dir, settings)
  await becomesCurrent(second.log)
  t.deepEqual(second.machine.applied, commands)
  t.is(second.log.status().storageId, storageId)
  await second.log.close()
  const names = await readdir(dir)
  t.is(names.filter((name) => name.endsWith('.snap')).length, 1)
  t.true(names.filter((name) => name.endsWith('.seg')).length < 8)
})

// Guards against a start on a folder that can't be used, and an error without a remedy: a file already has the name of the folder.
test('a data folder that is a file is refused with its name and a remedy', async (t) => {
  const root = await mkdtemp(join(tmpdir(), 'orioleslip-'))
  t.teardown(() => rm(root, { recursive: true }))
  const dir = join(root, 'lists')
  await writeFile(dir, 'not a folder')
  const res = await createReplicatedLog({ group: 'lists', vmId: 'c1', peers: [], dir, machine: createRecorder(), transport: unreachable })
  t.regex(res._unsafeUnwrapErr().message, /lists: EEXIST; check the disk/)
})
