import type { InitReply, StatusReply } from '@orioleslip/control/client'
import type { Result } from 'neverthrow'
import type { ControlCalls, Verdict } from '../control-calls.js'
import type { CliError, Output } from '../exit-codes.js'
import { formatTable } from '../table.js'

function evaluateInit (reply: InitReply): Verdict<'initialized' | 'exists'> {
  return reply.kind === 'refused'
    ? { kind: 'next', message: reply.message, maybeApplied: false }
    : { kind: 'take', value: reply.kind }
}

/** `cluster init`: creates the log groups once. Repeating it completes a partial init and has no effect otherwise. */
export async function clusterInit (calls: ControlCalls): Promise<Result<Output, CliError>> {
  const res = await calls.request((api) => api.clusterInit.mutate(undefined) as Promise<InitReply>, evaluateInit)
  return res.map((kind) => ({
    text: kind === 'initialized' ? 'the log groups are created and have a leader' : 'the log groups exist already and have a leader',
    json: { kind }
  }))
}

const requestStatus = (calls: ControlCalls) => calls.request<StatusReply>((api) => api.status.query() as Promise<StatusReply>)

function controlRows (status: StatusReply): string[][] {
  return status.controls.flatMap((control) => {
    if (!control.reachable) return [[control.vmId, control.authority, 'unreachable', control.reason, '', '']]
    return control.groups.map((group) => [
      control.vmId, control.authority, `${group.group}: ${group.role}`, `term ${group.term}`, `commit ${group.commitIndex}/${group.lastIndex}`,
      group.group === 'lists' ? `revision ${control.revision}` : ''
    ])
  })
}

/** `status`: revision in effect, control VMs, and nodes per revision. */
export async function showStatus (calls: ControlCalls): Promise<Result<Output, CliError>> {
  return (await requestStatus(calls)).map((status) => {
    const { revision, confirmed, reason, inEffect, nodes, lagging } = status
    const lines = [
      `revision ${revision}${confirmed ? '' : ` (not confirmed: ${reason ?? 'a later one may be in effect'})`}`,
      '',
      formatTable([['control VM', 'address', 'group', 'term', 'log', 'lists'], ...controlRows(status)]),
      '',
      nodes.length === 0 ? 'no node has polled a reachable control VM' : `${nodes.length} nodes`,
      ...inEffect.map((entry) => `  revision ${entry.revision < 0 ? 'none' : entry.revision} on ${entry.nodes} nodes`),
      ...lagging.slice(0, 20).map((node) => `  ${node.vmId} ${node.reason === 'silent' ? `silent for ${Math.round(node.ageMs / 1000)} s` : 'behind'}: revision ${node.revision}`),
      ...(lagging.length > 20 ? [`  and ${lagging.length - 20} more; see "orioleslip fleet"`] : [])
    ]
    return { text: lines.join('\n'), json: status }
  })
}

/** `fleet`: every node that polls a control VM. */
export async function showFleet (calls: ControlCalls): Promise<Result<Output, CliError>> {
  return (await requestStatus(calls)).map(({ nodes, lagging, revision }) => {
    const reasons = new Map(lagging.map((node) => [node.vmId, node.reason]))
    const rows = nodes.map((node) => [
      node.vmId, node.callerAddress ?? '-', String(node.revision), `${(node.ageMs / 1000).toFixed(1)} s`, reasons.get(node.vmId) ?? 'current'
    ])
    const text = nodes.length === 0 ? 'no nodes' : formatTable([['node', 'callers', 'revision', 'last poll', 'state'], ...rows])
    return { text, json: { revision, nodes: nodes.map((node) => ({ ...node, state: reasons.get(node.vmId) ?? 'current' })) } }
  })
}
