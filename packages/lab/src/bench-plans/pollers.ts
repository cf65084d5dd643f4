import { setMaxListeners } from 'node:events'
import { createControlClient, toAuthority } from '@orioleslip/control/client'
import { systemClock, type Random } from '@orioleslip/core'
import type { Fleet } from '../fleet/fleet.js'
import { FLEET_KEY } from '../fleet/settings-files.js'
import { toObservations, type Observation } from './revisions.js'

/** Connections that poll the control VMs as nodes do, without the rest of a node. */
export type Pollers = { observations: Observation[], readonly failures: number, readonly reverted: number, stop: () => Promise<void> }

// Both as in the node's document poller.
const WAIT_MS = 3000
const TIMEOUT_MS = 4000
const RETRY_DELAY_MS = 100

/** Starts `count` pollers, evenly distributed over the control VMs and over the time of one poll. */
export async function startPollers (fleet: Fleet, count: number, random: Random): Promise<Pollers> {
  const observations: Observation[] = []
  const stopping = new AbortController()
  // Each poller adds one or two abort listeners, which together exceed the default limit.
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
        const received = change.kind === 'full' ? change.document.revision : change.kind === 'unchanged' ? change.revision : change.deltas.at(-1)!.to
        if (received < revision) reverted++
        const atMs = Date.now()
        observations.push(...toObservations(vmId, revision < 0 ? received - 1 : revision, received, atMs))
        revision = Math.max(revision, received)
      } catch {
        if (stopping.signal.aborted) break
        failures++
        await systemClock.sleep(RETRY_DELAY_MS, stopping.signal)
      } finally {
        stopping.signal.removeEventListener('abort', cancel)
      }
    }
    await close()
  }
  const running = Array.from({ length: count }, (_, i) => run(i))
  // After this time every poller has sent its first poll.
  await systemClock.sleep(WAIT_MS)
  return {
    observations,
    get failures () { return failures },
    get reverted () { return reverted },
    stop: async () => {
      stopping.abort()
      await Promise.all(running)
    }
  }
}
