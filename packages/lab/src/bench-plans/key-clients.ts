import { createHash } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { createControlClient, toAuthority, type ControlClient } from '@orioleslip/control/client'
import { systemClock, type Random } from '@orioleslip/core'
import { createRegisterClient, newAttemptToken, newClaimId } from '@orioleslip/node'
import type { Fleet } from '../fleet/fleet.js'
import { FLEET_KEY } from '../fleet/settings-files.js'
import { percentile, round } from './statistics.js'

/** Claims of all clients, of which `failures` were not granted or not finished. */
export type KeyLoadReport = { claims: number, failures: number, claimP50Ms: number, claimP99Ms: number }

/** Running clients; `stop` ends them and returns their figures. */
export type KeyClients = { stop: () => Promise<KeyLoadReport> }

// Same as in the node's key register client.
const TIMEOUT_MS = 1000

const digest = (text: string) => createHash('sha256').update(text).digest('hex')

/** Connects `count` clients of the key register, which together claim and finish `perSecond` keys. */
export function startKeyClients (fleet: Fleet, count: number, perSecond: number, random: Random): KeyClients {
  const stopping = new AbortController()
  setMaxListeners(0, stopping.signal)
  const claimMs: number[] = []
  let failures = 0
  const run = async (i: number) => {
    const { vm } = fleet.controls[i % fleet.controls.length]!
    const client = createControlClient({
      authority: toAuthority(vm.address, vm.apiPort), principal: { kind: 'fleet' }, key: FLEET_KEY, clock: systemClock, timeoutMs: TIMEOUT_MS
    })
    const register = createRegisterClient((procedure, input) =>
      client.keyCall(procedure.replace('keys.', '') as Parameters<ControlClient['keyCall']>[0], input))
    const periodMs = count * 1000 / perSecond
    let nextMs = performance.now() + random.next() * periodMs
    for (;;) {
      await systemClock.sleep(Math.max(0, nextMs - performance.now()), stopping.signal)
      if (stopping.signal.aborted) break
      nextMs += periodMs
      const id = { customer: `customer-${i}`, key: newAttemptToken(systemClock) }
      const token = newAttemptToken(systemClock)
      const startMs = performance.now()
      const claim = await register.claim({
        ...id, token, opKey: 'service-1 POST /items/:id', requestHash: digest(token), executorVm: `node-${i}`, claimId: newClaimId(), timeoutMs: 10_000
      })
      claimMs.push(performance.now() - startMs)
      const finish = claim.isOk() && claim.value.kind === 'granted'
        ? await register.finish(id, token, { status: 201, bodySha256: digest(''), answer: { status: 201, headers: [], body: new Uint8Array(200) } })
        : undefined
      if (finish?.isOk() !== true) failures++
    }
    await client.close()
  }
  const running = Array.from({ length: count }, (_, i) => run(i))
  return {
    stop: async () => {
      stopping.abort()
      await Promise.all(running)
      return { claims: claimMs.length, failures, claimP50Ms: round(percentile(claimMs, 50)), claimP99Ms: round(percentile(claimMs, 99)) }
    }
  }
}
