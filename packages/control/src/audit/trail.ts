import type { ListsStateMachine } from '../lists/state-machine.js'
import type { AuditArchive } from './archive.js'
import { GENESIS, verifyChain, type AuditAnchor, type AuditEntry } from './chain.js'

/** Result of checking the whole chain on one control VM. */
export type AuditReport =
  | { kind: 'intact', vmId: string, entries: number, head: AuditAnchor }
  | { kind: 'broken', vmId: string, seq: number, message: string }

/** The audit trail of a control VM: older entries from the archive files, the latest ones from the window in memory. */
export type AuditTrail = {
  /** Entries after a sequence number, oldest first. */
  page: (afterSeq: number, limit: number) => Promise<AuditEntry[]>
  /** Checks the hash chain of the whole trail on this control VM. */
  verify: () => Promise<AuditReport>
}

/** Creates the audit trail from the archive and the window of the state machine. */
export function createAuditTrail (
  options: { vmId: string, machine: Pick<ListsStateMachine, 'auditAnchor' | 'auditEntries' | 'auditHead'>, archive: AuditArchive }
): AuditTrail {
  const { vmId, machine, archive } = options

  async function page (afterSeq: number, limit: number): Promise<AuditEntry[]> {
    const anchor = machine.auditAnchor()
    // The window is preferred because it is part of the replicated state; only entries before it come from files.
    const archived = afterSeq < anchor.seq ? await archive.read(afterSeq, Math.min(limit, anchor.seq - afterSeq)) : []
    if (afterSeq + archived.length < anchor.seq) return archived
    return [...archived, ...machine.auditEntries().filter((entry) => entry.seq > afterSeq)].slice(0, limit)
  }

  return {
    page,
    verify: async () => {
      const broken = (seq: number, message: string): AuditReport => ({ kind: 'broken', vmId, seq, message })
      const head = machine.auditHead()
      const recent = [...machine.auditEntries()]
      const windowStart = machine.auditAnchor()
      let anchor = GENESIS
      while (anchor.seq < windowStart.seq) {
        const entries = await archive.read(anchor.seq, Math.min(500, windowStart.seq - anchor.seq))
        if (entries.length === 0) {
          return broken(anchor.seq + 1, `entry ${anchor.seq + 1} is not in the archive of this control VM; it will be fetched from the others; check again later, or verify on another control VM`)
        }
        const res = verifyChain(anchor, entries)
        if ('kind' in res) return broken(res.seq, res.message)
        anchor = res
      }
      // The replicated state holds the hash of the last entry before the window, which reveals files that were changed on one VM.
      if (anchor.hash !== windowStart.hash) return broken(anchor.seq, `the archive of this control VM differs from the replicated trail at entry ${anchor.seq}`)
      const res = verifyChain(anchor, recent)
      if ('kind' in res) return broken(res.seq, res.message)
      return res.hash === head.hash
        ? { kind: 'intact', vmId, entries: res.seq, head: res }
        : broken(res.seq, 'the trail changed during the check; check again')
    }
  }
}
