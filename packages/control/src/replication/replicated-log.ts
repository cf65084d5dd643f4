import { systemClock, systemRandom, type Clock, type ProposeError, type Random, type ReplicaStatus, type ReplicatedLog, type StateMachine } from '@orioleslip/core'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { StorageError } from '../storage/errors.js'
import { nodeFileSystem, type FileSystem } from '../storage/file-system.js'
import type { Store } from '../storage/store.js'
import { runElectionTimer } from './election.js'
import { handleMessage } from './handler.js'
import { initGroup, type InitError } from './init.js'
import { runJoin, setExcluded } from './membership.js'
import type { ReplicationMessage, ReplicationReply, ReplicationTransport } from './messages.js'
import { createLock, createNotifier } from './synchronization.js'
import { openReplicaStore } from './open-replica.js'
import { propose } from './proposals.js'
import { confirmCurrent } from './reads.js'
import { failureOf, ownMember, refreshConfiguration, type MembershipRule, type Replica, type ReplicationLogger, type ReplicationPeer } from './replica.js'
import { leaseMs, stepDown } from './roles.js'
import { defaultReplicationSettings, type ReplicationSettings } from './settings.js'
import { startTask } from './tasks.js'

/** Options of `createReplicatedLog`. */
export type ReplicatedLogOptions<Command, Reply, State> = {
  /** Name of the log group. */
  group: string
  vmId: string
  /** All control VMs, including this one; a function returns those currently known, given the VM ids of the group's members. */
  peers: ReplicationPeer[] | ((memberIds: string[]) => ReplicationPeer[])
  /** Which VMs may join; by default those of `peers`. */
  membership?: MembershipRule
  /** Folder of this group; nothing else may use it. */
  dir: string
  /** `apply` must not throw and must not change the command; commands, replies and state are JSON-compatible. */
  machine: StateMachine<Command, Reply, State>
  transport: ReplicationTransport
  logger?: ReplicationLogger
  settings?: Partial<ReplicationSettings>
  fileSystem?: FileSystem
  clock?: Clock
  random?: Random
  newStorageId?: () => string
}

/** A replicated log with the operations that only control processes need. */
export type ControlLog<Command, Reply> = ReplicatedLog<Command, Reply> & {
  /** Handles a message that the transport received and returns the reply. */
  handle: (message: ReplicationMessage) => Promise<ReplicationReply>
  /** Creates the group, by default with all control VMs. Refused when one of them belongs to a group already. */
  init: (vmIds?: string[]) => ResultAsync<void, InitError>
  /** Excludes a VM from the group; on the leader only. */
  exclude: (vmId: string) => ResultAsync<void, ProposeError>
  /** Allows an excluded VM to join again; on the leader only. */
  readmit: (vmId: string) => ResultAsync<void, ProposeError>
}

const noLogger: ReplicationLogger = { info: () => {}, warn: () => {}, error: () => {} }

/** Opens this VM's replica of a log group and starts its elections and join requests. */
export function createReplicatedLog<Command, Reply, State> (
  options: ReplicatedLogOptions<Command, Reply, State>): ResultAsync<ControlLog<Command, Reply>, StorageError> {
  return new ResultAsync(openLog(options))
}

async function openLog<Command, Reply, State> (
  options: ReplicatedLogOptions<Command, Reply, State>): Promise<Result<ControlLog<Command, Reply>, StorageError>> {
  const { fileSystem = nodeFileSystem, clock = systemClock, logger = noLogger } = options
  const settings = { ...defaultReplicationSettings, ...options.settings }
  const peers = typeof options.peers === 'function' ? options.peers([]) : options.peers
  const opened = await openReplicaStore({ ...options, peers, fileSystem, clock, logger, settings })
  if (opened.isErr()) return err(opened.error)
  const replica = createReplica(options, settings, opened.value)
  startTask(replica, runElectionTimer(replica))
  startTask(replica, runJoin(replica))
  return ok({
    propose: (cmd) => new ResultAsync(propose(replica, cmd) as Promise<Result<Reply, ProposeError>>),
    confirmCurrent: () => new ResultAsync(confirmCurrent(replica, 'quorum')),
    confirmLeased: () => new ResultAsync(confirmCurrent(replica, 'lease')),
    status: () => statusOf(replica),
    onApplied: (listener) => {
      replica.listeners.add(listener)
      return () => { replica.listeners.delete(listener) }
    },
    handle: (message) => handleMessage(replica, message),
    init: (vmIds = replica.peers.map(({ vmId }) => vmId)) => new ResultAsync(initGroup(replica, vmIds)),
    exclude: (vmId) => new ResultAsync(setExcluded(replica, vmId, true)),
    readmit: (vmId) => new ResultAsync(setExcluded(replica, vmId, false)),
    close: async () => {
      if (replica.closed) return
      replica.closed = true
      stepDown(replica, 'the process is stopping')
      replica.stateChanged.notify()
      await replica.savingSnapshot?.catch(() => {})
      await replica.lock(() => replica.store.close())
    }
  })
}

function createReplica<Command, Reply, State> (
  options: ReplicatedLogOptions<Command, Reply, State>, settings: ReplicationSettings, store: Store): Replica {
  const { group, vmId, peers, membership = { kind: 'listed' }, transport, machine, clock = systemClock, random = systemRandom, logger = noLogger } = options
  const { term, vote, storageId } = store.hardState()
  const snapshot = store.snapshot()
  if (snapshot !== undefined) machine.restore(store.takeInitialState() as State)
  const appliedIndex = snapshot?.lastIndex ?? 0
  const replica: Replica = {
    group,
    self: { vmId, storageId },
    get peers (): ReplicationPeer[] { return typeof peers === 'function' ? peers(replica.config?.members.map((member) => member.vmId) ?? []) : peers },
    membership,
    settings,
    clock,
    random,
    logger,
    transport,
    store,
    // The log and the snapshot return commands and states of the types with which they were written, which are those of this machine.
    machine: machine as unknown as StateMachine<unknown, unknown, unknown>,
    lock: createLock(),
    stateChanged: createNotifier(clock),
    listeners: new Set(),
    forwardReplies: new Map(),
    ledTerms: new Set(),
    role: 'follower',
    term,
    vote,
    leaderVmId: undefined,
    leaderContactMs: clock.nowMs(),
    pausedUntilMs: -Infinity,
    commitIndex: appliedIndex,
    lastApplied: appliedIndex,
    config: undefined,
    configIndex: 0,
    appliedConfig: snapshot?.config,
    leadership: undefined,
    initiating: false,
    savingSnapshot: undefined,
    incomingSnapshot: undefined,
    fault: undefined,
    closed: false
  }
  refreshConfiguration(replica)
  return replica
}

function statusOf (replica: Replica): ReplicaStatus {
  const { group, self, term, config, leadership, commitIndex, store } = replica
  const leader = replica.peers.find(({ vmId }) => vmId === replica.leaderVmId)?.address
  return {
    group,
    ...self,
    role: roleOf(replica),
    term,
    ...(leader === undefined ? {} : { leader }),
    commitIndex,
    lastIndex: store.log.lastIndex(),
    logBytes: store.log.bytes(),
    members: (config?.members ?? []).map((member) => {
      const progress = leadership?.progress.get(member.storageId)
      return { ...member, ...(progress === undefined ? {} : { matchIndex: progress.matchIndex }) }
    }),
    leaseMs: leaseMs(replica)
  }
}

function roleOf (replica: Replica): ReplicaStatus['role'] {
  if (failureOf(replica) !== undefined) return 'failed'
  const member = ownMember(replica)
  if (member === undefined) return 'outsider'
  return member.voter ? replica.role : 'learner'
}
