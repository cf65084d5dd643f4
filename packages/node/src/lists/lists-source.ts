import { createControlClient, toAuthority, type ListsChange } from '@orioleslip/control/client'
import type { Clock, ControlPeer } from '@orioleslip/core'
import { POLL_MARGIN_MS, POLL_WAIT_MS, type DocumentSource } from '../documents/document-poller.js'

/** Connects to a control VM over its API, to poll its lists. */
export function connectListsSource (peer: ControlPeer, fleetKey: string, clock: Clock): DocumentSource<ListsChange> {
  const { api, close } = createControlClient({
    authority: toAuthority(peer.address, peer.apiPort),
    principal: { kind: 'fleet' },
    key: fleetKey,
    clock,
    timeoutMs: POLL_WAIT_MS + POLL_MARGIN_MS
  })
  return { vmId: peer.vmId, since: (input, signal) => api.lists.since.query(input, { signal }), close }
}
