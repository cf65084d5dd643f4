import { createControlClient, toAuthority, type ControlClient } from '@orioleslip/control/client'
import type { Clock, ControlPeer, Random, RegisterError } from '@orioleslip/core'
import { err, ResultAsync, type Result } from 'neverthrow'
import type { ControlCall } from './register-client.js'

/** Longest wait for one answer of the register, in ms: a quorum round trip between regions with a disk sync, and a margin. */
const CALL_TIMEOUT_MS = 1000

export type ControlCallOptions = { controls: readonly ControlPeer[], fleetKey: string, clock: Clock, random: Random }

type KeyProcedure = Parameters<ControlClient['keyCall']>[0]

/** Calls the key register through one control VM and moves to the next one when it gives no answer. */
export function createControlCall ({ controls, fleetKey, clock, random }: ControlCallOptions): { call: ControlCall, close: () => Promise<void> } {
  const clients = controls.map((peer) => createControlClient({
    authority: toAuthority(peer.address, peer.apiPort),
    principal: { kind: 'fleet' },
    key: fleetKey,
    clock,
    timeoutMs: CALL_TIMEOUT_MS
  }))
  // Nodes start at different control VMs, so that no single one forwards all calls to the leader.
  let current = random.int(clients.length)

  const tryEach = async (procedure: KeyProcedure, input: object): Promise<Result<unknown, RegisterError>> => {
    let last: Result<unknown, RegisterError> = err({ kind: 'unavailable', outcome: 'not-applied', message: 'no control VM is configured' })
    for (let tried = 0; tried < clients.length; tried++) {
      const at = current
      last = await clients[at]!.keyCall(procedure, input)
      if (last.isOk()) return last
      if (current === at) current = (at + 1) % clients.length
      // The command may still be applied; whoever asked repeats it with the same token.
      if (last.error.outcome === 'unknown') return last
    }
    return last
  }
  return {
    call: (procedure, input) => new ResultAsync(tryEach(procedure.replace('keys.', '') as KeyProcedure, input)),
    close: async () => { await Promise.all(clients.map((client) => client.close())) }
  }
}
