import { createRoutesClient, toAuthority, type RoutesChange } from '@orioleslip/control/client'
import { applyRoutesDelta, createRoutesIndex, type Clock, type MembersView, type Random, type RoutesDocument, type RoutesIndex, type Seed } from '@orioleslip/core'
import type { Logger } from 'pino'
import { createApplyChange, createDocumentPoller, type DocumentPoller, type DocumentSource } from '../documents/document-poller.js'

/** Dependencies of `createRoutesPoller`. */
export type RoutesPollerOptions = {
  seeds: readonly Seed[]
  members: MembersView
  fleetKey: string
  vmId: string
  log: Logger
  clock: Clock
  random: Random
  /** Connects to a control VM; by default over its API. */
  connect?: (authority: string) => DocumentSource<RoutesChange>
}

/** Hold, margin and a poll of the next control VM fit into the 2.5 s in which routes must be in effect, also if a control VM is silent. */
const HOLD_MS = 1000
const POLL_MARGIN_MS = 400

/** Starts polling for the routes, from the control VMs that are alive in the member table, or from the seeds while there are none. */
export function createRoutesPoller (options: RoutesPollerOptions): DocumentPoller<RoutesIndex> {
  const { seeds, members, fleetKey, vmId, log, clock, random } = options
  const connected = new Map<string, DocumentSource<RoutesChange>>()

  const openSource = options.connect ?? ((authority: string): DocumentSource<RoutesChange> => {
    const { api, close } = createRoutesClient({
      authority, principal: { kind: 'fleet' }, key: fleetKey, clock, timeoutMs: HOLD_MS + POLL_MARGIN_MS
    })
    return {
      vmId: authority,
      since: (input, signal) => api.since.query({ vmId: input.vmId, revision: input.revision, waitMs: input.waitMs }, { signal }),
      close
    }
  })
  const connect = (authority: string): DocumentSource<RoutesChange> => {
    const source = connected.get(authority) ?? openSource(authority)
    connected.set(authority, source)
    return source
  }
  const sources = () => {
    const known = members.all().filter(({ record, liveness }) => record.role === 'control' && liveness === 'alive')
    const authorities = known.map(({ record }) => toAuthority(record.host, record.peerPort))
    const wanted = authorities.length > 0 ? authorities : seeds.map((seed) => toAuthority(seed.address, seed.apiPort))
    return wanted.map(connect)
  }
  return createDocumentPoller<RoutesDocument, RoutesChange, RoutesIndex>({
    subject: 'routes',
    sources,
    apply: createApplyChange(applyRoutesDelta),
    index: createRoutesIndex,
    vmId,
    log,
    clock,
    random,
    holdMs: HOLD_MS,
    pollMarginMs: POLL_MARGIN_MS
  })
}
