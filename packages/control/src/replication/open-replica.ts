import { err, type Result } from 'neverthrow'
import type { Clock } from '@orioleslip/core'
import type { StorageError } from '../storage/errors.js'
import { moveAside, type FileSystem } from '../storage/file-system.js'
import { openStore, type Store } from '../storage/store.js'
import type { ReplicationTransport } from './messages.js'
import { within } from './notifier.js'
import type { ReplicationLogger, ReplicationPeer } from './replica.js'
import type { ReplicationSettings } from './settings.js'

/** What is needed to open a replica's folder and to rebuild it. */
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
 * Opens the store. A damaged one is moved aside when a peer confirms that the group has a leader: the folder is then formatted with a
 * new storage id and joins like a replica that lost its disk, because what it acknowledged earlier may be among the damage.
 */
export async function openReplicaStore (options: OpenOptions): Promise<Result<Store, StorageError>> {
  const { fileSystem: fs, dir, settings, logger, group, newStorageId } = options
  const storeOptions = { fs, dir, segmentBytes: settings.segmentBytes, ...(newStorageId === undefined ? {} : { newStorageId }) }
  const opened = await openStore(storeOptions)
  if (opened.isOk() || opened.error.kind !== 'damaged') return opened
  logger.error({ event: 'storage-fault', group, file: opened.error.file, offset: opened.error.offset }, opened.error.message)
  if (options.peers.length < 2 || !await hasLeader(options)) return err(opened.error)
  const aside = await moveAside(fs, dir)
  logger.warn({ event: 'storage-rebuilt', group, aside }, 'the damaged files were moved aside; this replica is rebuilt from its peers')
  return await openStore(storeOptions)
}

async function hasLeader (options: OpenOptions): Promise<boolean> {
  const { clock, settings } = options
  const endMs = clock.nowMs() + settings.repairWaitMs
  // The damage may have come with the loss of the leader, so the others get time for an election.
  while (!await askForLeader(options)) {
    if (clock.nowMs() >= endMs) return false
    await clock.sleep(settings.heartbeatMs)
  }
  return true
}

async function askForLeader ({ group, vmId, peers, transport, clock, settings }: OpenOptions): Promise<boolean> {
  const replies = await Promise.all(peers.filter((peer) => peer.vmId !== vmId).map((peer) =>
    within(clock, 2 * settings.rpcTimeoutMs, (async () => await transport.send(peer.vmId, {
      group, from: { vmId, storageId: '' }, body: { kind: 'identify', init: false }
    }))())))
  return replies.some((reply) => reply?.kind === 'identify' && reply.hasLeader)
}
