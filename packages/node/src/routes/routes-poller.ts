import { createRoutesClient, toAuthority, type RoutesChange } from '@orioleslip/control/client'
import { createRoutesIndex, type Clock, type MembersView, type Random, type RoutesDocument, type RoutesIndex, type Seed } from '@orioleslip/core'
import type { Logger } from 'pino'
import { createDocumentPoller, POLL_WAIT_MS, type DocumentPoller, type PollTarget } from '../documents/document-poller.js'

export type RoutesPollerOptions = {
  seeds: readonly Seed[]
  members: MembersView
  fleetKey: string
  vmId: string
  log: Logger
  clock: Clock
  random: Random
}

// A control VM that does not answer a held poll within this time is out of contact.
const ANSWER_MARGIN_MS = 500

/** Keeps the routes of this node current, asking the seeds and the control VMs that the members know. */
export function createRoutesPoller (options: RoutesPollerOptions): DocumentPoller<RoutesIndex> {
  const { seeds, members, fleetKey, vmId, log, clock, random } = options
  const connected = new Map<string, PollTarget<RoutesChange>>()

  const connect = (authority: string): PollTarget<RoutesChange> => {
    const known = connected.get(authority)
    if (known !== undefined) return known
    const { api, close } = createRoutesClient({
      authority, principal: { kind: 'fleet' }, key: fleetKey, clock, timeoutMs: POLL_WAIT_MS + ANSWER_MARGIN_MS
    })
    const target: PollTarget<RoutesChange> = {
      vmId: authority,
      since: (input, signal) => api.since.query({ vmId: input.vmId, revision: input.revision, waitMs: input.waitMs }, { signal }),
      close
    }
    connected.set(authority, target)
    return target
  }
  const targets = () => {
    const known = members.all().filter(({ record, liveness }) => record.role === 'control' && liveness === 'alive')
    const authorities = known.map(({ record }) => toAuthority(record.host, record.peerPort))
    const wanted = authorities.length > 0 ? authorities : seeds.map((seed) => toAuthority(seed.address, seed.apiPort))
    return wanted.map(connect)
  }
  return createDocumentPoller<RoutesDocument, RoutesChange, RoutesIndex>({
    subject: 'routes',
    targets,
    apply: (_document, change) => change.kind === 'full' ? { kind: 'document', document: change.document } : change,
    index: createRoutesIndex,
    vmId,
    log,
    clock,
    random
  })
}
