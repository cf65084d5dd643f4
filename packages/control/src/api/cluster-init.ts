import type { Clock, ReplicatedLog } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { AuditContent } from '../audit/chain.js'
import type { ListsCommand, ListsReply } from '../lists/commands.js'
import type { ControlLog } from '../replication/replicated-log.js'
import type { InitReply } from './router.js'

// A new group elects its leader within the longest election timeout, 1.2 s; this limit covers several elections.
const LEADER_WAIT_MS = 10_000
const LEADER_RETRY_MS = 100

type Group = { name: string, log: Pick<ControlLog<never, unknown>, 'init' | 'status' | 'confirmCurrent'> }

/**
 * Creates the operation that forms the log groups. Groups that exist are skipped, so a resend after a lost reply or after a failure
 * between the groups completes the work.
 */
export function createClusterInit (options: {
  vmId: string
  groups: readonly Group[]
  lists: Pick<ReplicatedLog<ListsCommand, ListsReply>, 'propose'>
  clock: Clock
  log: Logger
}): (operator: string) => Promise<InitReply> {
  const { vmId, groups, lists, clock, log } = options

  async function waitForLeader (group: Group): Promise<boolean> {
    const endMs = clock.nowMs() + LEADER_WAIT_MS
    while ((await group.log.confirmCurrent()).isErr()) {
      if (clock.nowMs() >= endMs) return false
      await clock.sleep(LEADER_RETRY_MS)
    }
    return true
  }

  async function run (): Promise<InitReply> {
    let created = false
    for (const group of groups) {
      if (group.log.status().members.length > 0) continue
      const res = await group.log.init()
      // The status lags behind the log while this VM is writing the first entry that it got from another one.
      if (res.isErr() && res.error.kind === 'exists') continue
      if (res.isErr()) return { kind: 'refused', message: `log group "${group.name}": ${res.error.message}` }
      created = true
    }
    for (const group of groups) {
      if (!await waitForLeader(group)) {
        return { kind: 'refused', message: `log group "${group.name}" has no leader within ${LEADER_WAIT_MS / 1000} s; see status and the logs of the control VMs` }
      }
    }
    return { kind: created ? 'initialized' : 'exists' }
  }

  return async (operator) => {
    const answer = await run()
    log.info({ operator, answer }, 'Processed a cluster init request')
    const outcome: AuditContent['outcome'] = answer.kind === 'refused'
      ? { kind: 'refused', unauthenticated: false, reason: answer.message }
      : { kind: 'accepted', revision: 0 }
    if (answer.kind !== 'exists') {
      // Before the groups exist there is no audit trail; a refusal is then only in the log of the process.
      await lists.propose({ kind: 'record', entry: { wallMs: clock.wallMs(), vmId, operator, action: 'clusterInit', changes: [], outcome } })
        .mapErr((problem) => log.error({ operator, answer, problem }, 'Could not add the cluster init request to the audit trail; only this log has it'))
    }
    return answer
  }
}
