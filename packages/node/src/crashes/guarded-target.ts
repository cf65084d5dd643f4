import type { Clock } from '@orioleslip/core'
import type { PeerPool } from '../links/pool.js'
import type { Log } from '../members/self-record.js'
import type { Announcement } from '../target/local-target.js'
import { createTargetLifecycle, type TargetLifecycle, type TargetLifecycleOptions } from '../target/target-lifecycle.js'
import { createCrashGuard, type CrashGuard, type CrashGuardOptions } from './crash-guard.js'

/** Dependencies of `createGuardedTarget`. */
export type GuardedTargetOptions = Pick<TargetLifecycleOptions, 'target' | 'availability' | 'watch'> & {
  clock: Clock
  log: Log
  /** Address of this VM. */
  host: string
  members: CrashGuardOptions['members'] & { isConfirmed: () => boolean }
  pool: () => PeerPool
}

/** The local target with the guard against requests that end it. */
export type GuardedTarget = {
  crashes: CrashGuard
  lifecycle: TargetLifecycle
  /** Applies an announcement; false when it is older than the one in effect. */
  announce: (announcement: Announcement) => boolean
}

/** Creates the lifecycle of the local target, which a crash takes out of service, and the guard that recognises crashes. */
export function createGuardedTarget ({ host, members, pool, ...shared }: GuardedTargetOptions): GuardedTarget {
  const crashes: CrashGuard = createCrashGuard({
    ...shared,
    host,
    members,
    request: (...args) => pool().request(...args),
    onCrash: (process) => lifecycle.processEnded(process)
  })
  const lifecycle: TargetLifecycle = createTargetLifecycle({
    ...shared, isConfirmed: members.isConfirmed, isListening: crashes.isListening
  })
  return {
    crashes,
    lifecycle,
    announce: (announcement) => {
      crashes.takeOver(announcement.service)
      return lifecycle.announce(announcement)
    }
  }
}
