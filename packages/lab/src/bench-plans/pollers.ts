import { setMaxListeners } from 'node:events'
import { createControlClient, toAuthority } from '@orioleslip/control/client'
import { systemClock, type Random } from '@orioleslip/core'
import type { Fleet } from '../fleet/fleet.js'
import { FLEET_KEY } from '../fleet/settings-files.js'
import { newRevisions, type Sighting } from './revisions.js'

/** Connections that poll the control VMs as nodes do, without the rest of a node. */
export type Pollers = { sightings: Sighting[], readonly failures: number, readonly reverted: number, stop: () => Promise<void> }

// Both as in the poller of the node.
const WAIT_MS = 3000
const TIMEOUT_MS = 4000
const RETRY_MS = 100

/** Starts `count` pollers, spread evenly over the control VMs and over the time of one poll. */
export async function startPollers (fleet: Fleet, count: number, random: Random): Promise<Pollers> {
  const sightings: Sighting[] = []
  const stopping = new AbortController()
  // Each poller has a listener or two.
  setMaxListeners(0, stopping.signal)
  let failures = 0
  let reverted = 0
  const run = async (i: number) => {
    const { vm } = fleet.controls[i % fleet.controls.length]!
    const { api, close } = createControlClient({
      authority: toAuthority(vm.address, vm.apiPort), principal: { kind: 'fleet' }, key: FLEET_KEY, clock: systemClock, timeoutMs: TIMEOUT_MS
    })
    const vmId = `poller-${i}`
    let revision = -1
    await systemClock.sleep(random.next() * WAIT_MS, stopping.signal)
    while (!stopping.signal.aborted) {
      const abort = new AbortController()
      const cancel = () => abort.abort()
      stopping.signal.addEventListener('abort', cancel, { once: true })
      try {
        const input = { vmId, revision, waitMs: WAIT_MS, callerAddress: '127.0.0.1:1' }
        const { change } = await api.lists.since.query(input, { signal: abort.signal })
        const answered = change.kind === 'full' ? change.document.revision : change.kind === 'unchanged' ? change.revision : change.deltas.at(-1)!.to
        if (answered < revision) reverted++
        const atMs = Date.now()
        sightings.push(...newRevisions(vmId, revision < 0 ? answered - 1 : revision, answered, atMs))
        revision = Math.max(revision, answered)
      } catch {
        if (stopping.signal.aborted) break
        failures++
        await systemClock.sleep(RETRY_MS, stopping.signal)
      } finally {
        stopping.signal.removeEventListener('abort', cancel)
      }
    }
    await close()
  }
  const running = Array.from({ length: count }, (_, i) => run(i))
  // All of them have polled once.
  await systemClock.sleep(WAIT_MS)
  return {
    sightings,
    get failures () { return failures },
    get reverted () { return reverted },
    stop: async () => {
      stopping.abort()
      await Promise.all(running)
    }
  }
}
