import type { Clock } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { AuditArchive } from './archive.js'
import type { AuditEntry } from './chain.js'

/** A control VM from which missing entries are read; `page` returns entries after a sequence number, oldest first. */
export type AuditSource = { vmId: string, page: (afterSeq: number, limit: number) => Promise<AuditEntry[]> }

const CHECK_INTERVAL_MS = 5000
const PAGE_ENTRIES = 200

/**
 * Fetches the entries that the archive of this control VM lacks after a lost or failed disk, when the state came as a snapshot or
 * entries could not be written. Returns when `signal` aborts.
 */
export async function runArchiveBackfill (
  options: { archive: AuditArchive, headSeq: () => number, sources: readonly AuditSource[], clock: Clock, log: Logger, signal: AbortSignal }
): Promise<void> {
  const { archive, headSeq, sources, clock, log, signal } = options
  const gapEnd = () => archive.firstSeqAfterGap(headSeq())

  async function backfillFrom (source: AuditSource): Promise<boolean> {
    for (let gap = gapEnd(); gap !== undefined && !signal.aborted; gap = gapEnd()) {
      const from = archive.last().seq
      const entries = await source.page(from, Math.min(PAGE_ENTRIES, gap - 1 - from))
      if (entries.length === 0) return false
      if (!await archive.backfill(entries)) {
        log.error({ source: source.vmId, afterSeq: from }, 'Audit entries of a control VM do not continue the chain of the local archive; run "orioleslip audit verify"')
        return false
      }
      if (archive.last().seq === from) return false
    }
    return true
  }

  while (!signal.aborted) {
    for (const source of gapEnd() === undefined ? [] : sources) {
      try {
        if (await backfillFrom(source)) break
      } catch (err) {
        log.debug({ err, source: source.vmId }, 'Could not fetch missing audit entries from a control VM')
      }
    }
    await clock.sleep(CHECK_INTERVAL_MS, signal)
  }
}
