import type { ListsChange } from '@orioleslip/control/client'
import { applyDelta, createListsIndex, type Clock, type ControlPeer, type ListsDocument, type ListsIndex, type Random } from '@orioleslip/core'
import type { Logger } from 'pino'
import { createApplyChange, createDocumentPoller, type DocumentPoller, type DocumentSource } from '../documents/document-poller.js'
import { connectListsSource } from './lists-source.js'

/** Poller that keeps the lists of this node current. */
export type ListsPoller = DocumentPoller<ListsIndex>

/** Dependencies of `createListsPoller`. */
export type ListsPollerOptions = {
  controls: readonly ControlPeer[]
  fleetKey: string
  vmId: string
  log: Logger
  clock: Clock
  random: Random
  /** `address:port` of the caller listener, shown by `orioleslip fleet`. */
  callerAddress?: string
  /** Connects to a control VM; by default over its API. */
  connect?: (peer: ControlPeer) => DocumentSource<ListsChange>
}

/** Starts polling for the lists. */
export function createListsPoller (options: ListsPollerOptions): ListsPoller {
  const { controls, fleetKey, vmId, log, clock, random, callerAddress } = options
  const sources = controls.map(options.connect ?? ((peer) => connectListsSource(peer, fleetKey, clock)))
  return createDocumentPoller<ListsDocument, ListsChange, ListsIndex>({
    subject: 'lists',
    sources: () => sources,
    apply: createApplyChange(applyDelta),
    index: createListsIndex,
    vmId,
    log,
    clock,
    random,
    ...(callerAddress === undefined ? {} : { callerAddress })
  })
}
