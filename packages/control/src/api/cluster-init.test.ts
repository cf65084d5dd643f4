import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { errAsync, okAsync } from 'neverthrow'
import { pino } from 'pino'
import type { InitError } from '../replication/init.js'
import { createClusterInit } from './cluster-init.js'

/** Runs an init on a VM whose log answers `init` with `error`, or creates the group without one; its status shows no members yet. */
function runInit (error?: InitError) {
  const log = {
    status: () => ({ members: [] }),
    init: () => error === undefined ? okAsync(undefined) : errAsync(error),
    confirmCurrent: () => okAsync(undefined)
  }
  const init = createClusterInit({
    vmId: 'c2',
    groups: [{ name: 'keys', log: log as never }],
    lists: { propose: () => okAsync(undefined) as never },
    clock: createFakeClock(),
    log: pino({ level: 'silent' })
  })
  return init('ana')
}

// Guards against a second init, at another control VM, that is refused because that VM has just written the group's first entry and its
// status does not show the members yet.
test('an init on a VM that has just joined the group reports that the group exists', async (t) => {
  t.deepEqual(await runInit({ kind: 'exists', message: 'group "keys" exists already on this VM; nothing to do' }), { kind: 'exists' })
  t.deepEqual(await runInit(), { kind: 'initialized' })
  t.like(await runInit({ kind: 'initRefused', message: '"c3" does not answer' }), { kind: 'refused' })
})
