import { err, type Result } from 'neverthrow'
import type { Clock } from '@orioleslip/core'
import type { StorageError } from '../storage/errors.js'
import { moveAside, type FileSystem } from '../storage/file-system.js'
import { openStore, type Store } from '../storage/store.js'
import type { ReplicationTransport } from './messages.js'
import { withTimeout } from './synchronization.js'
import type { ReplicationLogger, ReplicationPeer } from './replica.js'
import { trailingLimits, type ReplicationSettings } from './settings.js'

/** Options of `openReplicaStore`. */
export type OpenOptions = {
  group: string
  vmId: string
  dir: string
  peers: ReplicationPeer[]
  settings: ReplicationSettings
  fileSystem: FileSystem
  clock: Clock
  transport: ReplicationTransport
  logger: ReplicationLogger
  newStorageId?: () => string
}

/**
 * Opens the store. The files of a damaged one are moved aside when a peer confirms that the group has a leader. The folder is then
 * formatted with a new storage id, and the replica joins as if it had lost its disk, because entries that it acknowledged may be damaged.
 */
export async function openReplicaStore (options: OpenOptions): Promise<Result<Store, StorageError>> {
  const { fileSystem: fs, dir, settings, logger, group, newStorageId } = options
  const storeOptions = {
    fs,
    dir,
    segmentBytes: settings.segmentBytes,
    trailing: trailingLimits(settings),
    ...(newStorageId === undefined ? {} : { newStorageId })
  }
  const opened = await openStore(storeOptions)
  if (opened.isOk() || opened.error.kind !== 'damaged') return opened
  logger.error({ event: 'storage-fault', group, file: opened.error.file, offset: opened.error.offset }, opened.error.message)
  if (options.peers.length < 2 || !await waitForLeader(options)) return err(opened.error)
  const aside = await moveAside(fs, dir)
  logger.warn({ event: 'storage-rebuilt', group, aside }, 'the damaged files were moved aside; this replica is rebuilt from its peers')
  return await openStore(storeOptions)
}

async function waitForLeader (options: OpenOptions): Promise<boolean> {
  const { clock, settings } = options
  const endMs = clock.nowMs() + settings.repairWaitMs
  // The damage may coincide with the loss of the leader, so the peers get time for an election.
  while (!await isLeaderKnownToPeers(options)) {
    if (clock.nowMs() >= endMs) return false
    await clock.sleep(settings.heartbeatMs)
  }
  return true
}

async function isLeaderKnownToPeers ({ group, vmId, peers, transport, clock, settings }: OpenOptions): Promise<boolean> {
  const replies = await Promise.all(peers.filter((peer) => peer.vmId !== vmId).map((peer) =>
    withTimeout(clock, 2 * settings.rpcTimeoutMs, (async () => await transport.send(peer.vmId, {
      group, from: { vmId, storageId: '' }, body: { kind: 'identify', init: false }
    }))())))
  return replies.some((reply) => reply?.kind === 'identify' && reply.hasLeader)
}
