import type { Clock, ReplicatedLog } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { AuditContent } from '../audit/chain.js'
import type { ListsCommand, ListsReply } from '../lists/commands.js'

/** A change that was refused before it reached the lists log, because its sender may not make changes. */
export type RefusedChange = { operator: string, action: AuditContent['action'], editId?: string, unauthenticated: boolean, reason: string }

// Token bucket, since anyone can cause these entries: a burst of 20 and one per 10 s, at most 8640 a day, keep a flood out of the log.
const BURST = 20
const REFILL_MS = 10_000

/**
 * Creates the function that records refused changes in the audit trail. It doesn't wait for the lists log; a record that this log
 * doesn't accept is only in the log of the process.
 */
export function createRefusedChangeLog (
  options: { vmId: string, lists: Pick<ReplicatedLog<ListsCommand, ListsReply>, 'propose'>, clock: Clock, log: Logger }
): (change: RefusedChange) => void {
  const { vmId, lists, clock, log } = options
  let tokens = BURST
  let refilledMs = clock.nowMs()
  let suppressed = 0

  return (change) => {
    const { operator, action, editId, unauthenticated, reason } = change
    const refill = Math.floor((clock.nowMs() - refilledMs) / REFILL_MS)
    tokens = Math.min(BURST, tokens + refill)
    refilledMs += refill * REFILL_MS
    if (tokens === 0) {
      suppressed++
      return
    }
    tokens--
    const entry: AuditContent = {
      wallMs: clock.wallMs(),
      vmId,
      operator,
      action,
      ...(editId === undefined ? {} : { editId }),
      changes: [],
      outcome: { kind: 'refused', unauthenticated, reason },
      ...(suppressed === 0 ? {} : { suppressed })
    }
    suppressed = 0
    log.warn({ audit: entry }, 'Refused a change of the lists or of the cluster')
    lists.propose({ kind: 'record', entry }).match(() => {}, (problem) =>
      log.error({ audit: entry, problem }, 'Could not add the refused change to the audit trail; only this log has it'))
  }
}
