import type { Replica } from './replica.js'
import { stepDown } from './roles.js'

/** Starts a background task. An exception in it is a program error, after which the replica stops participating. */
export function startTask (replica: Replica, task: Promise<unknown>) {
  task.catch((cause: unknown) => {
    replica.fault ??= `internal error: ${String(cause)}; restart the control process and report this fault`
    replica.logger.error({ event: 'replica-fault', group: replica.group, err: cause }, replica.fault)
    stepDown(replica, replica.fault)
  })
}
