import type { MemberRecord, TargetRecord } from '@orioleslip/core'
import type { Logger } from 'pino'
import { updateOf } from './table.js'
import type { Update } from './update.js'

/** Conflicts per warning: two processes with one VM id refute each other several times per second. */
const CONFLICTS_PER_LOG_LINE = 100

/** The part of the logger that membership uses. */
export type Log = Pick<Logger, 'debug' | 'info' | 'warn'>

/** Holder of the member record of this process. */
export type SelfRecordStore = {
  record: () => MemberRecord
  update: (full: boolean) => Update
  setTarget: (target: TargetRecord | undefined) => void
  leave: () => void
  /** Handles an update about this process from another member; true when it was refuted with a higher incarnation. */
  handleUpdate: (update: Update) => boolean
}

/** Creates the holder; `initial.incarnation` is the wall clock at the start, in ms. */
export function createSelfRecordStore (initial: MemberRecord, log: Log): SelfRecordStore {
  let own = initial
  let left = false
  let conflicts = 0
  return {
    record: () => own,
    update: (full) => updateOf(own, left ? 'left' : 'alive', full),
    setTarget: (target) => {
      const { target: _old, ...rest } = own
      own = { ...rest, version: own.version + 1, ...(target === undefined ? {} : { target }) }
    },
    leave: () => { left = true },
    handleUpdate: (update) => {
      if (left || update.incarnation < own.incarnation) return false
      const older = update.incarnation === own.incarnation && update.version <= own.version
      if (older && update.liveness === 'alive') return false
      // A newer record than the own one was published by a predecessor whose clock was ahead, or by a second process.
      const other = update.record
      const isOtherProcess = other !== undefined && update.liveness === 'alive' && (other.host !== own.host || other.gossipPort !== own.gossipPort)
      if (isOtherProcess && conflicts++ % CONFLICTS_PER_LOG_LINE === 0) {
        log.warn({ event: 'vm-id-conflict', vmId: own.vmId, otherHost: other.host, otherPort: other.gossipPort },
          'another process uses this VM id; stop it or give it its own vm.id in the settings')
      }
      own = { ...own, incarnation: update.incarnation + 1 }
      const level = isOtherProcess ? 'debug' : 'info'
      log[level]({ event: 'refuted', statement: update.liveness, incarnation: own.incarnation }, 'refuted an update about this process')
      return true
    }
  }
}
