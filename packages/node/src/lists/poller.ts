import type { ListsChange } from '@orioleslip/control/client'
import { applyDelta, createListsIndex, type Clock, type ControlPeer, type ListsDocument, type ListsIndex, type Random } from '@orioleslip/core'
import type { Logger } from 'pino'
import { createApplyChange, createDocumentPoller, type DocumentPoller, type PollTarget } from '../documents/document-poller.js'
import { connectPollTarget } from './control-poll.js'

/** Keeps the lists of this node current. */
export type ListsPoller = DocumentPoller<ListsIndex>

export type ListsPollerOptions = {
  controls: readonly ControlPeer[]
  fleetKey: string
  vmId: string
  log: Logger
  clock: Clock
  random: Random
  /** `address:port` of the caller listener, shown by `orioleslip fleet`. */
  callerAddress?: string
  connect?: (peer: ControlPeer) => PollTarget<ListsChange>
}

/** Starts polling for the lists. */
export function createListsPoller (options: ListsPollerOptions): ListsPoller {
  const { controls, fleetKey, vmId, log, clock, random, callerAddress } = options
  const targets = controls.map(options.connect ?? ((peer) => connectPollTarget(peer, fleetKey, clock)))
  return createDocumentPoller<ListsDocument, ListsChange, ListsIndex>({
    subject: 'lists',
    targets: () => targets,
    apply: createApplyChange(applyDelta),
    index: createListsIndex,
    vmId,
    log,
    clock,
    random,
    ...(callerAddress === undefined ? {} : { callerAddress })
  })
}
