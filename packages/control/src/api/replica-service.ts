import { TRPCError } from '@trpc/server'
import type { ProposeError, ReplicatedLog } from '@orioleslip/core'
import { pack, unpack } from './packed.js'

/** A log group as the API sees it. */
export type GroupEndpoint = {
  log: ReplicatedLog<unknown, unknown>
  /** Handles a replication message of another replica and gives the reply. */
  handle: (message: unknown) => Promise<unknown>
}

/** Result of a proposal as it travels between control VMs. */
export type ForwardResult = { kind: 'applied', reply: unknown } | { kind: 'failed', problem: ProposeError }

/** Operations between control VMs; messages and replies are packed. */
export type ReplicaService = {
  message: (group: string, packed: string) => Promise<string>
  /** Proposes on this VM only, so that a proposal is forwarded at most once. */
  forward: (group: string, packed: string) => Promise<string>
}

/** Creates the operations that other control VMs call. */
export function createReplicaService (groups: ReadonlyMap<string, GroupEndpoint>): ReplicaService {
  function endpoint (group: string): GroupEndpoint {
    const found = groups.get(group)
    if (found === undefined) throw new TRPCError({ code: 'NOT_FOUND', message: `no log group "${group}"; run the same version on all control VMs` })
    return found
  }
  return {
    message: async (group, packed) => pack(await endpoint(group).handle(unpack(packed))),
    forward: async (group, packed) => {
      const res = await endpoint(group).log.propose(unpack(packed))
      const result: ForwardResult = res.match(
        (reply): ForwardResult => ({ kind: 'applied', reply }),
        (problem): ForwardResult => ({ kind: 'failed', problem }))
      return pack(result)
    }
  }
}
