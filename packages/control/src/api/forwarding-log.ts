import type { ProposeError, ReplicatedLog } from '@orioleslip/core'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { callControl, type ControlClient } from './client.js'
import { pack, unpack } from './packed.js'
import type { ForwardResult } from './replica-service.js'

/**
 * Wraps a log so that a proposal at a replica that isn't the leader goes to the leader it knows. The leader doesn't forward again:
 * with two replicas that each take the other for the leader, a proposal would circulate.
 */
export function createForwardingLog<Command, Reply> (
  group: string, log: ReplicatedLog<Command, Reply>, clientOf: (authority: string) => ControlClient | undefined
): ReplicatedLog<Command, Reply> {
  async function forward (client: ControlClient, cmd: Command): Promise<Result<Reply, ProposeError>> {
    const res = await callControl(client.api.replica.forward.mutate({ group, packed: pack(cmd) }))
    if (res.isErr()) {
      const message = `the leader ${client.authority} did not answer: ${res.error.message}`
      return err(res.error.kind === 'lost' ? { kind: 'outcomeUnknown', message } : { kind: 'notLeader', message })
    }
    const result = unpack(res.value) as ForwardResult
    return result.kind === 'applied' ? ok(result.reply as Reply) : err(result.problem)
  }

  async function propose (cmd: Command): Promise<Result<Reply, ProposeError>> {
    const res = await log.propose(cmd)
    if (res.isOk() || res.error.kind !== 'notLeader' || res.error.leader === undefined) return res
    const client = clientOf(res.error.leader)
    return client === undefined ? res : await forward(client, cmd)
  }

  return { ...log, propose: (cmd) => new ResultAsync(propose(cmd)) }
}
