import { authorizeRequest, WELL_KNOWN_PREFIX } from '@orioleslip/core'
import type { StatusReply } from '@orioleslip/control/client'
import { err, ok, type Result } from 'neverthrow'
import { fetch } from 'undici'
import type { ClientSettings } from '../client-settings.js'
import type { ControlCalls } from '../control-calls.js'
import { EXIT, type CliError, type Output } from '../exit-codes.js'

const TIMEOUT_MS = 3000
const MAX_PARALLEL = 32

type FoundRecord = { node: string, record: unknown }

type MissingRecord = { node: string, problem?: string }

type Operator = Pick<ClientSettings, 'operator' | 'key'>

async function fetchRecord (node: string, requestId: string, { operator, key }: Operator): Promise<FoundRecord | MissingRecord> {
  const path = `${WELL_KNOWN_PREFIX}explain/${encodeURIComponent(requestId)}`
  const signed = { method: 'GET', authority: node, path, body: '' }
  const authorization = authorizeRequest({ kind: 'operator', name: operator }, key, signed, Date.now())
  try {
    const res = await fetch(`http://${node}${path}`, { headers: { authorization }, signal: AbortSignal.timeout(TIMEOUT_MS) })
    if (res.status === 200) return { node, record: await res.json() }
    const body = await res.json() as { error?: string }
    return res.status === 404 ? { node } : { node, problem: `status ${res.status}: ${body.error ?? ''}` }
  } catch (cause) {
    return { node, problem: cause instanceof Error ? cause.message : String(cause) }
  }
}

/** `explain`: reads the decision records of a request from the given nodes, or from all nodes that poll the control VMs. */
export async function explainRequest (
  calls: ControlCalls, requestId: string, namedNodes: string[] | undefined, operator: Operator
): Promise<Result<Output, CliError>> {
  let nodes = namedNodes
  if (nodes === undefined) {
    const status = await calls.request<StatusReply>((api) => api.status.query() as Promise<StatusReply>)
    if (status.isErr()) return err(status.error)
    nodes = status.value.nodes.flatMap(({ callerAddress }) => callerAddress ?? [])
  }
  const found: FoundRecord[] = []
  const problems: string[] = []
  for (let i = 0; i < nodes.length; i += MAX_PARALLEL) {
    for (const result of await Promise.all(nodes.slice(i, i + MAX_PARALLEL).map((node) => fetchRecord(node, requestId, operator)))) {
      if ('record' in result) found.push(result)
      else if (result.problem !== undefined) problems.push(`${result.node}: ${result.problem}`)
    }
  }
  if (found.length === 0) {
    const failures = problems.length === 0 ? '' : `; ${problems.length} nodes did not respond:\n  ${problems.slice(0, 10).join('\n  ')}`
    return err({
      exitCode: EXIT.unavailable,
      message: `no record of request ${requestId} on ${nodes.length} nodes; records are kept for the latest requests only, or name a node with --node${failures}`
    })
  }
  const text = found.map(({ node, record }) => `${node}\n${JSON.stringify(record, null, 2)}`).join('\n')
  return ok({ text, json: { requestId, found, problems } })
}
