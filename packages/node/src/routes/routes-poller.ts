import { createRoutesClient, toAuthority, type RoutesChange } from '@orioleslip/control/client'
import { applyRoutesDelta, createRoutesIndex, type Clock, type MembersView, type Random, type RoutesDocument, type RoutesIndex, type Seed } from '@orioleslip/core'
import type { Logger } from 'pino'
import { createApplyChange, createDocumentPoller, type DocumentPoller, type PollTarget } from '../documents/document-poller.js'

export type RoutesPollerOptions = {
  seeds: readonly Seed[]
  members: MembersView
  fleetKey: string
  vmId: string
  log: Logger
  clock: Clock
  random: Random
  /** Opens the connection to a control VM; over its API by default. */
  connect?: (authority: string) => PollTarget<RoutesChange>
}

/** Hold, margin and the next control VM stay within the 2.5 s in which routes must be in force, also when a control VM falls silent. */
const HOLD_MS = 1000
const ANSWER_MARGIN_MS = 400

/** Keeps the routes of this node current, asking the seeds and the control VMs that the members know. */
export function createRoutesPoller (options: RoutesPollerOptions): DocumentPoller<RoutesIndex> {
  const { seeds, members, fleetKey, vmId, log, clock, random } = options
  const connected = new Map<string, PollTarget<RoutesChange>>()

  const openTarget = options.connect ?? ((authority: string): PollTarget<RoutesChange> => {
    const { api, close } = createRoutesClient({
      authority, principal: { kind: 'fleet' }, key: fleetKey, clock, timeoutMs: HOLD_MS + ANSWER_MARGIN_MS
    })
    return {
      vmId: authority,
      since: (input, signal) => api.since.query({ vmId: input.vmId, revision: input.revision, waitMs: input.waitMs }, { signal }),
      close
    }
  })
  const connect = (authority: string): PollTarget<RoutesChange> => {
    const target = connected.get(authority) ?? openTarget(authority)
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
    apply: createApplyChange(applyRoutesDelta),
    index: createRoutesIndex,
    vmId,
    log,
    clock,
    random,
    holdMs: HOLD_MS,
    answerMarginMs: ANSWER_MARGIN_MS
  })
}
