import { withTimeout, type Clock, type MembersView } from '@orioleslip/core'
import type { Announcement, LocalTarget } from '../target/local-target.js'
import type { TargetLifecycle } from '../target/target-lifecycle.js'
import { withdrawalOf } from './withdrawal.js'
import type { WithdrawalCopies } from './withdrawal-copies.js'

/** Longest wait of an announcement for what other nodes know of its process and service, in ms; it is applied later then. */
const HELD_MS = 500

/** Dependencies of `createRememberedTarget`. */
export type RememberedTargetOptions = {
  target: Pick<LocalTarget, 'current'>
  lifecycle: Pick<TargetLifecycle, 'announce' | 'withdraw' | 'inherit'>
  copies: Pick<WithdrawalCopies, 'copy' | 'read'>
  /** Takes over what other nodes know of requests that end targets of the service; resolves after a limited time. */
  takeOver: (service: string) => Promise<void>
  members: Pick<MembersView, 'onChange'> & { isConfirmed: () => boolean }
  clock: Clock
}

/** The local target, whose withdrawal outlives the process of this node. */
export type RememberedTarget = {
  /** Applies an announcement; one that says that the target leaves resolves once other nodes know of it. False if it was not applied. */
  announce: (announcement: Announcement) => Promise<boolean>
  /** Marks the instance as leaving; resolves once other nodes know of it, with false when another instance is in effect. */
  withdraw: (instance: string) => Promise<boolean>
}

/**
 * Creates the target. Announcements are held until this process is a confirmed member, before which it accepts no calls anyway, and has
 * taken over what other nodes know of the service. Those of a process older than this one are also held until other nodes have said
 * whether it has withdrawn from a predecessor.
 */
export function createRememberedTarget (options: RememberedTargetOptions): RememberedTarget {
  const { target, lifecycle, copies, takeOver, members, clock } = options
  const startedMs = clock.nowMs()
  const confirmed = createConfirmation(members)
  let inherited: Promise<void> | undefined
  const inherit = (): Promise<void> => {
    const reached = confirmed()
    inherited ??= reached.then(copies.read).then(lifecycle.inherit)
    return inherited
  }

  /** By its age, the process was started after this one, so that it can't have withdrawn from a predecessor. */
  const isYounger = (announcement: Announcement): boolean =>
    announcement.startedMs !== undefined && clock.wallMs() - announcement.startedMs < clock.nowMs() - startedMs

  const prepare = async (announcement: Announcement): Promise<void> => {
    const known = confirmed().then(() => takeOver(announcement.service))
    await (isYounger(announcement) ? known : Promise.all([known, inherit()]))
  }

  const announceHeld = async (announcement: Announcement): Promise<boolean> => {
    const applied = prepare(announcement).then(() => ({ accepted: lifecycle.announce(announcement) }))
    return (await withTimeout(clock, HELD_MS, applied))?.accepted ?? false
  }

  const announceLeaving = async (announcement: Announcement): Promise<boolean> => {
    const accepted = lifecycle.announce(announcement)
    inherit()
    await copies.copy(withdrawalOf(announcement))
    return accepted
  }

  return {
    announce: (announcement) => announcement.state === 'leaving' ? announceLeaving(announcement) : announceHeld(announcement),
    withdraw: async (instance) => {
      const announced = target.current()?.announcement
      const startedMs = announced?.instance === instance ? announced.startedMs : undefined
      const withdrawn = lifecycle.withdraw(instance)
      await copies.copy(withdrawalOf({ instance, startedMs }))
      return withdrawn
    }
  }
}

/** Returns a function that looks whether this process is a confirmed member with the table of members, and resolves once it has been. */
function createConfirmation ({ onChange, isConfirmed }: RememberedTargetOptions['members']): () => Promise<void> {
  let check = () => {}
  const reached = new Promise<void>((resolve) => {
    check = () => { if (isConfirmed()) resolve() }
    const unsubscribe = onChange(() => {
      check()
      if (isConfirmed()) unsubscribe()
    })
  })
  return () => {
    check()
    return reached
  }
}
