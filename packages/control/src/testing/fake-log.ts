import type { NotCurrent, ProposeError, ReplicatedLog, ReplicaStatus, StateMachine } from '@orioleslip/core'
import { errAsync, okAsync } from 'neverthrow'

/** A log for tests that applies commands at once, in memory, and fails on request. */
export type FakeLog<Command, Reply> = ReplicatedLog<Command, Reply> & {
  /** Commands in the order in which they were applied. */
  applied: Command[]
  /** When false, `confirmCurrent` and `confirmLeased` fail like on a replica without contact to a quorum. */
  current: boolean
  /** The next proposals fail with these errors, in order, and are not applied. */
  failures: ProposeError[]
}

/** Creates a fake log on a state machine. */
export function createFakeLog<Command, Reply> (machine: Pick<StateMachine<Command, Reply, unknown>, 'apply'>): FakeLog<Command, Reply> {
  const listeners = new Set<(index: number) => void>()
  const status: ReplicaStatus = {
    group: 'lists', vmId: 'c1', storageId: 's1', role: 'leader', term: 1, commitIndex: 0, lastIndex: 0, logBytes: 0, members: [], leaseMs: 500
  }
  const confirm = () => log.current ? okAsync<void, NotCurrent>(undefined) : errAsync<void, NotCurrent>({ kind: 'notCurrent', message: 'no contact with a quorum' })
  const log: FakeLog<Command, Reply> = {
    applied: [],
    current: true,
    failures: [],
    propose: (cmd) => {
      const failure = log.failures.shift()
      if (failure !== undefined) return errAsync(failure)
      log.applied.push(cmd)
      const index = log.applied.length
      // The real log applies a serialized copy of the command, too.
      const reply = machine.apply(index, JSON.parse(JSON.stringify(cmd)) as Command)
      for (const listener of listeners) listener(index)
      return okAsync(reply)
    },
    confirmCurrent: confirm,
    confirmLeased: confirm,
    status: () => ({ ...status, commitIndex: log.applied.length, lastIndex: log.applied.length }),
    onApplied: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    close: () => Promise.resolve()
  }
  return log
}
