import { okAsync } from 'neverthrow'
import type { ClaimResult, FinishedRun, KeyRegister } from '@orioleslip/core'

type FakeRecord = { token: string, claimId: string, requestHash: string, executorVm: string, run?: FinishedRun }

/** Creates a key register in memory, without replication, expiry or limits. */
export function createFakeRegister (): KeyRegister {
  const records = new Map<string, FakeRecord>()
  const cancelled = new Set<string>()
  const idOf = ({ customer, key }: { customer: string, key: string }) => `${customer} ${key}`
  const claimResult = (known: FakeRecord, requestHash: string): ClaimResult => {
    if (known.requestHash !== requestHash) return { kind: 'mismatch' }
    if (known.run !== undefined) return { kind: 'finished', run: known.run }
    return { kind: 'dispatched', executorVm: known.executorVm, remainingMs: 0 }
  }
  return {
    claim: (claim) => {
      const known = records.get(idOf(claim))
      if (known === undefined && cancelled.has(claim.token)) return okAsync({ kind: 'cancelled' as const })
      const repeated = known?.token === claim.token && known.claimId === claim.claimId
      if (known !== undefined && !repeated) return okAsync(claimResult(known, claim.requestHash))
      if (known === undefined) records.set(idOf(claim), claim)
      return okAsync({ kind: 'granted' as const })
    },
    finish: (id, token, run) => {
      const known = records.get(idOf(id))
      if (known?.token === token) records.set(idOf(id), { ...known, run })
      return okAsync(undefined)
    },
    release: (id, token) => {
      if (records.get(idOf(id))?.token === token) records.delete(idOf(id))
      return okAsync(undefined)
    },
    cancel: (id, token) => {
      const known = records.get(idOf(id))
      if (known?.run !== undefined) return okAsync({ kind: 'finished' as const, run: known.run })
      if (known?.token === token) return okAsync({ kind: 'dispatched' as const, executorVm: known.executorVm })
      cancelled.add(token)
      return okAsync({ kind: 'cancelled' as const })
    }
  }
}
