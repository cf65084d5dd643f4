import type { Clock, ControlPeer, RegisterError } from '@orioleslip/core'
import { errAsync, ResultAsync, type Result } from 'neverthrow'
import { toAuthority } from './address.js'
import { createControlClient, type ControlClient } from './client.js'
import { KEY_PROCEDURES } from './key-calls.js'

/** Calls the key register at any control VM; `procedure` is `keys.claim`, `keys.finish`, `keys.release` or `keys.cancel`. */
export type KeyCaller = {
  call: (procedure: string, input: object) => ResultAsync<unknown, RegisterError>
  close: () => Promise<void>
}

// Longer than a forwarded proposal takes at most (3.25 s).
const ANSWER_TIMEOUT_MS = 4500

/**
 * Creates the nodes' connection to the key register. A call that was certainly not applied goes to the other control VMs in turn;
 * one with an unknown outcome is returned, since only its caller knows whether and when it may be repeated.
 */
export function createKeyCaller (options: {
  controls: readonly ControlPeer[]
  fleetKey: string
  clock: Clock
  connect?: (peer: ControlPeer) => Pick<ControlClient, 'keyCall' | 'close'>
}): KeyCaller {
  const { controls, fleetKey, clock } = options
  const clients = controls.map(options.connect ?? ((peer) => createControlClient({
    authority: toAuthority(peer.address, peer.apiPort), principal: { kind: 'fleet' }, key: fleetKey, clock, timeoutMs: ANSWER_TIMEOUT_MS
  })))
  // The control VM that answered last is asked first.
  let preferred = 0

  async function run (procedure: typeof KEY_PROCEDURES[number], input: object): Promise<Result<unknown, RegisterError>> {
    const first = preferred
    for (let i = 0; ; i++) {
      const at = (first + i) % clients.length
      const res = await clients[at]!.keyCall(procedure, input)
      if (res.isOk()) {
        preferred = at
        return res
      }
      if (preferred === at) preferred = (at + 1) % clients.length
      if (res.error.outcome === 'unknown' || i === clients.length - 1) return res
    }
  }

  return {
    call: (name, input) => {
      const procedure = KEY_PROCEDURES.find((known) => name === `keys.${known}`)
      if (procedure !== undefined) return new ResultAsync(run(procedure, input))
      return errAsync({ kind: 'unavailable', outcome: 'not-applied', message: `"${name}" is not a procedure of the key register` })
    },
    close: async () => { await Promise.all(clients.map((client) => client.close())) }
  }
}
