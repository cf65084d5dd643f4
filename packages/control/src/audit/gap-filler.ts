import type { Clock } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { AuditArchive } from './archive.js'
import type { AuditEntry } from './chain.js'

/** Reads a page of the trail from another control VM. */
export type AuditSource = { vmId: string, page: (afterSeq: number, limit: number) => Promise<AuditEntry[]> }

const CHECK_MS = 5000
const PAGE_ENTRIES = 200

/**
 * Fetches archive entries that this control VM lacks, after a lost disk for example, when it got the state as a snapshot.
 * Returns when `signal` aborts.
 */
export async function runGapFiller (
  options: { archive: AuditArchive, sources: readonly AuditSource[], clock: Clock, log: Logger, signal: AbortSignal }
): Promise<void> {
  const { archive, sources, clock, log, signal } = options

  async function fillFrom (source: AuditSource): Promise<boolean> {
    for (let gap = archive.gapBefore(); gap !== undefined && !signal.aborted; gap = archive.gapBefore()) {
      const from = archive.last().seq
      const entries = await source.page(from, Math.min(PAGE_ENTRIES, gap.seq - 1 - from))
      if (entries.length === 0) return false
      if (!await archive.fill(entries)) {
        log.error({ source: source.vmId, afterSeq: from }, 'Audit entries of another control VM do not fit the local archive; run "orioleslip audit verify"')
        return false
      }
      if (archive.last().seq === from) return false
    }
    return true
  }

  while (!signal.aborted) {
    for (const source of archive.gapBefore() === undefined ? [] : sources) {
      try {
        if (await fillFrom(source)) break
      } catch (err) {
        log.debug({ err, source: source.vmId }, 'Could not fetch audit entries')
      }
    }
    await clock.sleep(CHECK_MS, signal)
  }
}
