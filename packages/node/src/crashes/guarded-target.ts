import type { Clock, MembersView } from '@orioleslip/core'
import type { PeerPool } from '../links/pool.js'
import type { Log } from '../members/self-record.js'
import { createTargetLifecycle, type TargetLifecycle, type TargetLifecycleOptions } from '../target/target-lifecycle.js'
import { createRememberedTarget, type RememberedTarget } from '../withdrawals/remembered-target.js'
import { createWithdrawalCopies } from '../withdrawals/withdrawal-copies.js'
import { createCrashGuard, type CrashGuard } from './crash-guard.js'

/** Dependencies of `createGuardedTarget`. */
export type GuardedTargetOptions = Pick<TargetLifecycleOptions, 'target' | 'availability' | 'watch'> & {
  clock: Clock
  log: Log
  /** Address of this VM. */
  host: string
  members: Pick<MembersView, 'self' | 'all' | 'ofService' | 'onChange'> & { isConfirmed: () => boolean }
  pool: () => PeerPool
}

/** The local target with the guard against requests that end it, and the memory of its withdrawals at other nodes. */
export type GuardedTarget = RememberedTarget & {
  crashes: CrashGuard
  lifecycle: TargetLifecycle
  /** Handles a request of another node; undefined for one of another kind. */
  handleRequest: (kind: string, body: unknown) => unknown
}

/** Creates the lifecycle of the local target, which a crash takes out of service, and the guard that recognises crashes. */
export function createGuardedTarget ({ host, members, pool, ...shared }: GuardedTargetOptions): GuardedTarget {
  const { clock, log, target } = shared
  const request: PeerPool['request'] = (...args) => pool().request(...args)
  const crashes: CrashGuard = createCrashGuard({ ...shared, host, members, request, onCrash: (process) => lifecycle.processEnded(process) })
  const lifecycle: TargetLifecycle = createTargetLifecycle({
    ...shared, isConfirmed: members.isConfirmed, isListening: crashes.isListening
  })
  const copies = createWithdrawalCopies({ members, request, clock, log })
  const { announce, withdraw } = createRememberedTarget({ target, lifecycle, copies, members, clock, takeOver: crashes.takeOver })
  return {
    crashes,
    lifecycle,
    announce,
    withdraw,
    handleRequest: (kind, body) => crashes.handleRequest(kind, body) ?? copies.handle(kind, body)
  }
}
