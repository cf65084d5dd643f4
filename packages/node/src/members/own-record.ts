import type { MemberRecord, TargetRecord } from '@orioleslip/core'
import type { Logger } from 'pino'
import { updateOf } from './table.js'
import type { Update } from './update.js'

/** Two processes with one VM id refute each other several times per second. */
const CONFLICTS_PER_LOG = 100

/** Logger as far as membership needs it. */
export type Log = Pick<Logger, 'debug' | 'info' | 'warn'>

/** This process's own record. */
export type OwnRecord = {
  record: () => MemberRecord
  update: (full: boolean) => Update
  setTarget: (target: TargetRecord | undefined) => void
  leave: () => void
  /** Takes what another member says about this process; true when it had to be refuted with a higher incarnation. */
  hear: (update: Update) => boolean
}

/** Creates the own record; `initial.incarnation` is the wall clock at the start, in ms. */
export function createOwnRecord (initial: MemberRecord, log: Log): OwnRecord {
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
    hear: (update) => {
      if (left || update.incarnation < own.incarnation) return false
      const older = update.incarnation === own.incarnation && update.version <= own.version
      if (older && update.liveness === 'alive') return false
      // A record from the future of this process was made by a predecessor whose clock ran ahead, or by a second process.
      const other = update.record
      const elsewhere = other !== undefined && update.liveness === 'alive' && (other.host !== own.host || other.gossipPort !== own.gossipPort)
      if (elsewhere && conflicts++ % CONFLICTS_PER_LOG === 0) {
        log.warn({ event: 'vm-id-conflict', vmId: own.vmId, otherHost: other.host, otherPort: other.gossipPort },
          'another process uses this VM id; stop it or give it its own vm.id in the settings')
      }
      own = { ...own, incarnation: update.incarnation + 1 }
      const level = elsewhere ? 'debug' : 'info'
      log[level]({ event: 'refuted', statement: update.liveness, incarnation: own.incarnation }, 'refuted a statement about this process')
      return true
    }
  }
}
