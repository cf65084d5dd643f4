import { ok } from 'neverthrow'
import { handleStorageError, type Replica } from './replica.js'
import { stepDown } from './roles.js'
import { trailingLimits } from './settings.js'
import { startTask } from './tasks.js'

/** Applies committed entries in log order and completes the proposals that wait for them. */
export function applyCommitted (replica: Replica) {
  const { store, machine } = replica
  if (replica.lastApplied === replica.commitIndex) return
  while (replica.lastApplied < replica.commitIndex) {
    const index = replica.lastApplied + 1
    const entry = store.log.entry(index)
    if (entry === undefined) throw new Error(`committed entry ${index} is not in the log`)
    const { body } = entry
    let reply: unknown
    try {
      if (body.kind === 'command') reply = machine.apply(index, body.cmd)
    } catch (cause) {
      // Skipping the entry would make this replica diverge from the others, so it stops applying.
      replica.fault = `applying entry ${index} failed: ${String(cause)}; report this fault with the data folder`
      replica.logger.error({ event: 'replica-fault', group: replica.group, err: cause }, replica.fault)
      stepDown(replica, replica.fault)
      return
    }
    if (body.kind === 'config') replica.appliedConfig = body.config
    replica.lastApplied = index
    const proposal = replica.leadership?.awaitingCommit.get(index)
    replica.leadership?.awaitingCommit.delete(index)
    proposal?.resolve(ok(reply))
    if (body.kind === 'command') for (const listener of replica.listeners) listener(index)
  }
  replica.stateChanged.notify()
  startDueSnapshot(replica)
}

/** Encoded size of the log entries that no snapshot covers. */
export const uncoveredLogBytes = ({ store }: Replica): number => store.log.bytesFrom((store.snapshot()?.lastIndex ?? 0) + 1)

/** Starts a snapshot if enough was applied since the last one and none is being written. */
export function startDueSnapshot (replica: Replica) {
  if (!isSnapshotDue(replica)) return
  replica.savingSnapshot = takeSnapshot(replica).finally(() => { replica.savingSnapshot = undefined })
  startTask(replica, replica.savingSnapshot)
}

function isSnapshotDue (replica: Replica): boolean {
  const { settings, store, lastApplied } = replica
  const snapshotIndex = store.snapshot()?.lastIndex ?? 0
  if (replica.savingSnapshot !== undefined || lastApplied <= snapshotIndex || replica.clock.nowMs() < replica.pausedUntilMs) return false
  if (lastApplied - snapshotIndex >= settings.snapshotEntries) return true
  return uncoveredLogBytes(replica) >= settings.snapshotBytes
}

/** Writes a snapshot of the applied state and drops the entries that it covers, except the last ones within the limits. */
async function takeSnapshot (replica: Replica) {
  const { store, machine, settings, appliedConfig, lastApplied } = replica
  const lastTerm = store.log.term(lastApplied)
  if (appliedConfig === undefined || lastTerm === undefined) return
  const saved = await store.saveSnapshot({ lastIndex: lastApplied, lastTerm, config: appliedConfig, state: machine.snapshot() })
  const bytesBefore = store.log.bytes()
  const dropped = saved.isErr()
    ? saved
    : await replica.lock(async () => replica.closed ? saved : await store.log.dropCovered(lastApplied, trailingLimits(settings)))
  if (dropped.isErr()) return handleStorageError(replica, dropped.error)
  const logBytes = store.log.bytes()
  replica.logger.info({
    event: 'snapshot', group: replica.group, lastIndex: lastApplied, freedBytes: bytesBefore - logBytes, logBytes
  }, 'took a snapshot and dropped the log entries that it makes superfluous')
}
