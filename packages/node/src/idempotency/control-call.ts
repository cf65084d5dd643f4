import { createControlClient, toAuthority, type ControlClient } from '@orioleslip/control/client'
import type { Clock, ControlPeer, Random, RegisterError } from '@orioleslip/core'
import { err, ResultAsync, type Result } from 'neverthrow'
import type { ControlCall } from './register-client.js'

/** Timeout of one register call, in ms: a quorum round trip between regions with a disk sync, and a margin. */
const CALL_TIMEOUT_MS = 1000

/** Dependencies of `createControlCall`. */
export type ControlCallOptions = { controls: readonly ControlPeer[], fleetKey: string, clock: Clock, random: Random }

type KeyProcedure = Parameters<ControlClient['keyCall']>[0]

/** Creates the call to the key register, sent through one control VM until that fails and then through the next one. */
export function createControlCall (options: ControlCallOptions): { call: ControlCall, close: () => Promise<void> } {
  const { controls, fleetKey, clock, random } = options
  const clients = controls.map((peer) => createControlClient({
    authority: toAuthority(peer.address, peer.apiPort),
    principal: { kind: 'fleet' },
    key: fleetKey,
    clock,
    timeoutMs: CALL_TIMEOUT_MS
  }))
  // Nodes start at a random control VM, so that no single one forwards all calls to the leader.
  let current = random.int(clients.length)

  const callAnyControl = async (procedure: KeyProcedure, input: object): Promise<Result<unknown, RegisterError>> => {
    let lastResult: Result<unknown, RegisterError> = err({ kind: 'unavailable', outcome: 'not-applied', message: 'no control VM is configured' })
    for (let attempts = 0; attempts < clients.length; attempts++) {
      const index = current
      lastResult = await clients[index]!.keyCall(procedure, input)
      if (lastResult.isOk()) return lastResult
      if (current === index) current = (index + 1) % clients.length
      // The command may still be applied; the caller of this function retries it with the same token.
      if (lastResult.error.outcome === 'unknown') return lastResult
    }
    return lastResult
  }
  return {
    call: (procedure, input) => new ResultAsync(callAnyControl(procedure.replace('keys.', '') as KeyProcedure, input)),
    close: async () => { await Promise.all(clients.map((client) => client.close())) }
  }
}
