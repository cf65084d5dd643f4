import type { Clock } from '@orioleslip/core'
import { covers, WITHDRAWAL_MEMORY_MS, type Withdrawal } from './withdrawal.js'

/** What this node keeps for others: the target processes beside them that have withdrawn. */
export type WithdrawalStore = {
  add: (vmId: string, withdrawal: Withdrawal) => void
  /** Withdrawals from the node of this VM that are still remembered. */
  of: (vmId: string) => Withdrawal[]
}

/** Limits on what is kept; the oldest VM, and the oldest withdrawal of a VM, go first. */
const MAX_VMS = 1000
const MAX_PER_VM = 4

type Kept = { withdrawal: Withdrawal, atMs: number }

/** Creates an empty store. */
export function createWithdrawalStore (clock: Clock): WithdrawalStore {
  /** By VM, the last changed one last. */
  const byVm = new Map<string, Kept[]>()
  const fresh = (vmId: string) => (byVm.get(vmId) ?? []).filter(({ atMs }) => clock.nowMs() - atMs < WITHDRAWAL_MEMORY_MS)
  const expire = () => {
    for (const vmId of byVm.keys()) {
      if (byVm.size <= MAX_VMS && fresh(vmId).length > 0) return
      byVm.delete(vmId)
    }
  }
  return {
    add: (vmId, withdrawal) => {
      const kept = fresh(vmId)
      if (kept.some((other) => other.withdrawal.instance === withdrawal.instance && covers(other.withdrawal, withdrawal))) return
      const others = kept.filter((other) => other.withdrawal.instance !== withdrawal.instance)
      byVm.delete(vmId)
      byVm.set(vmId, [...others, { withdrawal, atMs: clock.nowMs() - withdrawal.ageMs }].slice(-MAX_PER_VM))
      expire()
    },
    of: (vmId) => fresh(vmId).map(({ withdrawal, atMs }) => ({ ...withdrawal, ageMs: clock.nowMs() - atMs }))
  }
}
