import { notRun, type Clock, type Refusal } from '@orioleslip/core'
import { createRateLimitLog } from '../limits/rate-limit-log.js'
import type { CallHead } from '../links/messages.js'
import type { Log } from '../members/self-record.js'
import type { TargetWatch } from '../members/target-watch.js'
import type { Availability } from '../server/drain.js'
import type { Withdrawal } from '../withdrawals/withdrawal.js'
import { isSameProcess, processIdOf, type Announcement, type LocalTarget } from './local-target.js'
import type { TargetNotices } from './target-notices.js'

/** Dependencies of `createTargetLifecycle`. */
export type TargetLifecycleOptions = {
  target: LocalTarget
  availability: Availability
  watch: Pick<TargetWatch, 'announce' | 'leave' | 'ended'>
  /** True if a process listens at the port of the target. */
  isListening: (process: Announcement) => Promise<boolean>
  /** False while the fleet may have given this node's work to others. */
  isConfirmed: () => boolean
  clock: Clock
  log: Log
}

/** Start, changes and end of the local target, from its announcements, its responses, and what other nodes know of it. */
export type TargetLifecycle = {
  /** Applies an announcement; false when it is older than the one in effect. */
  announce: (announcement: Announcement) => boolean
  /** Marks this instance as leaving, whatever its later announcements say; false when another instance is in effect. */
  withdraw: (instance: string) => boolean
  /** Takes over withdrawals from a predecessor of this node's process. */
  inherit: (withdrawals: Withdrawal[]) => void
  /** Takes the target process out of service, because it has ended by itself. */
  processEnded: (process: Announcement) => void
  /** Refusal for a call that this node must not accept; undefined otherwise. */
  callRefusal: (head: Pick<CallHead, 'leavingProcess'>) => Refusal | undefined
  /** Refusal for an accepted call that has not been sent to the target yet; undefined otherwise. */
  sendRefusal: () => Refusal | undefined
  /** Counts a call that is sent to the target. */
  onSent: () => void
  /** Applies what the announced process says of itself in a response. */
  onNotices: (sender: Announcement, notices: TargetNotices) => void
}

/** Creates the lifecycle. */
export function createTargetLifecycle (options: TargetLifecycleOptions): TargetLifecycle {
  const { target, availability, watch, isConfirmed, log } = options
  const rateLimitLog = createRateLimitLog(options)
  /** Target process that has responded to this node without a notice that it leaves. */
  let inService: Announcement | undefined
  const isKnownToLeave = () => target.leavingProcess() !== undefined

  const withdraw = (instance: string): boolean => {
    const wasKnown = isKnownToLeave()
    const withdrawn = target.withdraw(instance)
    if (withdrawn && wasKnown) return true
    log.info({ event: 'target', instance, state: 'leaving', withdrawn }, 'local target has withdrawn')
    if (!withdrawn) return false
    availability.setTargetState('leaving')
    watch.leave()
    return true
  }

  const applyLeavingNotice = (sender: Announcement): void => {
    if (isKnownToLeave()) return
    withdraw(sender.instance)
    // Nodes may have passed on the notice long ago, over the predecessor of this process.
    if (inService === undefined || !isSameProcess(inService, sender)) availability.targetLeft()
  }

  // A predecessor of this process may have known that the target leaves; the entry nodes that know it say so in their calls.
  const applyReportedLeaving = (processId: number): void => {
    const announcement = target.current()?.announcement
    if (announcement === undefined || isKnownToLeave() || processIdOf(announcement) !== processId) return
    withdraw(announcement.instance)
    // The time in which a leaving target still gets calls began before this process started.
    availability.targetLeft()
  }

  // An announcement of a process that has ended may have been on its way for seconds.
  const checkEnded = async (announcement: Announcement): Promise<void> => {
    if (await options.isListening(announcement) && target.hasEnded(announcement)) target.markRunning()
  }

  const isLeavingSincePredecessor = (announcement: Announcement): boolean =>
    announcement.state === 'leaving' && target.leftPredecessor(announcement)

  const inherit = (withdrawals: Withdrawal[]): void => {
    for (const withdrawal of withdrawals) {
      const { instance, startedMs, ageMs } = withdrawal
      log.info({ event: 'withdrawal-inherited', instance, startedMs, ageMs: Math.round(ageMs) }, 'other nodes know that this target process leaves')
      target.inherit(withdrawal)
    }
    const announcement = target.current()?.announcement
    if (announcement !== undefined && isLeavingSincePredecessor(announcement)) availability.targetLeft()
  }

  return {
    withdraw,
    inherit,
    processEnded: (process) => { if (target.markEnded(process)) watch.ended() },
    announce: (announcement) => {
      if (target.hasEnded(announcement)) {
        checkEnded(announcement)
        return false
      }
      const before = target.current()?.announcement
      const accepted = target.announce(announcement)
      const { service, capacity, state, instance } = announcement
      if (!accepted) {
        log.info({ event: 'announcement-ignored', instance, sequence: announcement.sequence }, 'ignored a target announcement that is older than the one in effect, or comes from a process that has withdrawn')
        return false
      }
      if (before?.instance !== instance || before.state !== state) {
        log.info({ event: 'target', instance, service, state }, 'local target announced a new state')
      }
      availability.setTargetState(state)
      // The time in which a leaving target still gets calls began before this process started.
      if (isLeavingSincePredecessor(announcement)) availability.targetLeft()
      watch.announce({ service, capacity, state: availability.stopping() ? 'leaving' : state })
      return true
    },
    callRefusal: ({ leavingProcess }) => {
      // After a freeze the fleet may have declared this node failed and reassigned its work; it accepts none until it has refuted that.
      if (!isConfirmed()) return notRun('no-target', 'the node is not yet a confirmed member', 1)
      if (leavingProcess !== undefined) applyReportedLeaving(leavingProcess)
      return availability.targetRefusal()
    },
    sendRefusal: availability.sendRefusal,
    onSent: rateLimitLog.sent,
    onNotices: (sender, { rateLimit, leaving }) => {
      rateLimitLog.noticed(sender.instance, rateLimit)
      if (leaving) applyLeavingNotice(sender)
      else inService = sender
    }
  }
}
