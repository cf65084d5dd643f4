import { createCanceller, type Clock, type DocumentChange, type Random } from '@orioleslip/core'
import type { Logger } from 'pino'

/** Time for which a control VM holds a poll open, in ms. */
export const POLL_WAIT_MS = 3000

/**
 * Time beyond the hold after which a control VM counts as unreachable, in ms. Hold, margin and a poll of the next control VM fit into the
 * 6 s within which an edit must be in effect.
 */
export const POLL_MARGIN_MS = 1000

/** Input of one poll; `revision` is -1 before the node has a document. */
export type PollInput = { vmId: string, revision: number, waitMs: number, callerAddress?: string }

/** Connection to one control VM. `since` rejects when there is no response. */
export type DocumentSource<Change> = {
  vmId: string
  since: (input: PollInput, signal: AbortSignal) => Promise<{ change: Change, confirmed: boolean, reason?: string }>
  close: () => Promise<void>
}

/** Result of applying a change to the document of a node. */
export type Applied<Doc> =
  | { kind: 'unchanged', revision: number }
  | { kind: 'document', document: Doc }
  /** The change is not based on this node's document; the full document is needed. */
  | { kind: 'unfit' }

/** Creates the function that applies a change to a document; `applyDelta` returns undefined for a delta that does not fit. */
export function createApplyChange<Doc, Delta> (applyDelta: (document: Doc, delta: Delta) => Doc | undefined) {
  return (document: Doc | undefined, change: DocumentChange<Doc, Delta>): Applied<Doc> => {
    switch (change.kind) {
      case 'unchanged': return change
      case 'full': return { kind: 'document', document: change.document }
      case 'deltas': {
        let next = document
        for (const delta of change.deltas) next = next === undefined ? undefined : applyDelta(next, delta)
        return next === undefined ? { kind: 'unfit' } : { kind: 'document', document: next }
      }
    }
  }
}

/** Long poller that keeps a document of the control VMs current on this node. */
export type DocumentPoller<Index> = {
  /** The document in effect on this node; the revision only increases. */
  current: () => Index | undefined
  /** True once a control VM has confirmed that the revision was current; stays true when no control VM can be reached later. */
  readonly confirmed: boolean
  /** Reason why the document is not confirmed, for logs and refusals. */
  waitingFor: () => string
  /** Calls back after each change of the document and when it becomes confirmed; returns a function that unsubscribes. */
  onChange: (listener: () => void) => () => void
  stop: () => Promise<void>
}

/** Dependencies of `createDocumentPoller`. */
export type DocumentPollerOptions<Doc, Change, Index> = {
  /** Content of the document, for logs: "lists" or "routes". */
  subject: string
  /** Control VMs to poll; may change between calls and must not be empty. */
  sources: () => ReadonlyArray<DocumentSource<Change>>
  apply: (document: Doc | undefined, change: Change) => Applied<Doc>
  index: (document: Doc) => Index
  vmId: string
  log: Logger
  clock: Clock
  random: Random
  /** `address:port` of the caller listener, shown by `orioleslip fleet`. */
  callerAddress?: string
  /** Time for which a control VM holds a poll open, in ms. */
  holdMs?: number
  /** Time beyond the hold after which a poll is aborted, in ms. */
  pollMarginMs?: number
}

const BACKOFF_MIN_MS = 100
const BACKOFF_MAX_MS = 2000
const LOG_INTERVAL_MS = 10_000

/** Starts polling. When a poll fails, the node polls the next control VM within 100 ms in the first round over all of them. */
export function createDocumentPoller<Doc extends { revision: number }, Change, Index> (
  options: DocumentPollerOptions<Doc, Change, Index>
): DocumentPoller<Index> {
  const { subject, sources, vmId, log, clock, random, callerAddress, holdMs = POLL_WAIT_MS, pollMarginMs = POLL_MARGIN_MS } = options
  const listeners = new Set<() => void>()
  const stopping = createCanceller()
  // One per poll, because clients don't always remove their listeners from a signal.
  let polling = new AbortController()
  let document: Doc | undefined
  let index: Index | undefined
  let confirmed = false
  // True after a delta that did not fit: the next poll requests the full document.
  let needsFull = false
  let lastProblem = 'no control VM has been polled yet'
  let lastLogMs = -Infinity

  const revision = () => document?.revision ?? -1
  const notify = () => { for (const listener of listeners) listener() }

  function install (next: Doc, from: string): void {
    document = next
    index = options.index(next)
    log.info({ event: 'document', subject, revision: next.revision, control: from }, `${subject} in effect`)
    notify()
  }

  /** Applies a response; false when this node is not at the revision of the response afterwards. */
  function apply (change: Change, from: string): boolean {
    const applied = options.apply(document, change)
    switch (applied.kind) {
      case 'unchanged': return applied.revision === revision()
      case 'document':
        needsFull = false
        if (applied.document.revision < revision()) return false
        if (applied.document.revision > revision()) install(applied.document, from)
        return true
      case 'unfit':
        needsFull = true
        log.warn({ event: 'document', subject, revision: revision(), control: from }, `a change of the ${subject} does not apply to this node's revision; requesting the full document`)
        return false
    }
  }

  /** Polls once; true when the control VM may be polled again immediately. */
  async function poll (source: DocumentSource<Change>): Promise<boolean> {
    polling = new AbortController()
    const current = polling
    const pollEnded = createCanceller()
    clock.sleep(holdMs + pollMarginMs, pollEnded.signal).then(() => { if (!pollEnded.signal.aborted) current.abort() })
    const polledRevision = needsFull ? -1 : revision()
    try {
      const response = await source.since({
        vmId, revision: polledRevision, waitMs: holdMs, ...(callerAddress === undefined ? {} : { callerAddress })
      }, polling.signal)
      const applied = apply(response.change, source.vmId)
      if (!response.confirmed) {
        lastProblem = `control VM ${source.vmId} can't confirm that its ${subject} are current: ${response.reason ?? 'no reason given'}`
        return false
      }
      if (!applied) {
        lastProblem = `control VM ${source.vmId} confirms a revision other than ${revision()}, which this node has`
        // A confirmed revision below an accepted one means that the control VMs have lost state.
        if (!needsFull) log.error({ event: 'older-revision', subject, revision: revision(), control: source.vmId }, 'a control VM confirms an older revision than this node has; check "orioleslip status"')
        return false
      }
      if (!confirmed && document !== undefined) {
        confirmed = true
        log.info({ event: 'confirmed', subject, revision: revision(), control: source.vmId }, `${subject} are confirmed as current`)
        notify()
      }
      return true
    } catch (err) {
      lastProblem = `control VM ${source.vmId} does not answer: ${err instanceof Error ? err.message : String(err)}`
      return false
    } finally {
      pollEnded.abort()
    }
  }

  function logUnconfirmed (): void {
    if (clock.nowMs() - lastLogMs < LOG_INTERVAL_MS) return
    lastLogMs = clock.nowMs()
    log.warn({ event: 'unconfirmed', subject, revision: revision(), confirmed, problem: lastProblem },
      confirmed ? `${subject} can't be confirmed; the node keeps those in effect` : `waiting for a control VM that confirms the ${subject}`)
  }

  async function run (): Promise<void> {
    let failures = 0
    // Nodes start at a random control VM, so that the polls are distributed over all of them.
    let at = random.int(sources().length)
    while (!stopping.signal.aborted) {
      const startMs = clock.nowMs()
      const before = revision()
      const available = sources()
      at %= available.length
      if (await poll(available[at]!)) {
        failures = 0
        // Limits the rate of polls to a control VM that responds without holding them.
        if (revision() === before && clock.nowMs() - startMs < BACKOFF_MIN_MS) await clock.sleep(BACKOFF_MIN_MS, stopping.signal)
        continue
      }
      if (stopping.signal.aborted) break
      logUnconfirmed()
      at = (at + 1) % available.length
      const round = Math.floor(failures / available.length)
      failures++
      const backoffMs = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** Math.min(round, 10))
      await clock.sleep(backoffMs * (0.5 + random.next() / 2), stopping.signal)
    }
  }

  const running = run()
  return {
    current: () => index,
    get confirmed () { return confirmed },
    waitingFor: () => confirmed ? 'nothing' : lastProblem,
    onChange: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    stop: async () => {
      stopping.abort()
      polling.abort()
      await running
      await Promise.all(sources().map((source) => source.close()))
    }
  }
}
