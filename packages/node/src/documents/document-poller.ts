import type { Clock, DocumentChange, Random } from '@orioleslip/core'
import type { Logger } from 'pino'

/** Time for which a control VM is asked to hold a poll, in ms. */
export const POLL_WAIT_MS = 3000

/**
 * Time beyond the hold after which a control VM counts as out of contact, in ms. Hold, margin and the next control VM stay within the 6 s
 * in which an edit must be in effect.
 */
export const ANSWER_MARGIN_MS = 1000

/** One poll of a node; `revision` is -1 before it has a document. */
export type PollInput = { vmId: string, revision: number, waitMs: number, callerAddress?: string }

/** One control VM as the poller sees it. `since` rejects when there is no answer. */
export type PollTarget<Change> = {
  vmId: string
  since: (input: PollInput, signal: AbortSignal) => Promise<{ change: Change, confirmed: boolean, reason?: string }>
  close: () => Promise<void>
}

/** What a change does to the document of a node. */
export type Applied<Doc> =
  | { kind: 'unchanged', revision: number }
  | { kind: 'document', document: Doc }
  /** The change does not fit to the document at hand; the whole one is needed. */
  | { kind: 'unfit' }

/** Creates the application of changes to a document; `applyDelta` gives undefined where a delta does not fit. */
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

/** Keeps a document of the control VMs current on this node. */
export type DocumentPoller<Index> = {
  /** The document in effect on this node; the revision only increases. */
  current: () => Index | undefined
  /** True once a control VM has confirmed that the revision was current; stays true when no control VM can be reached later. */
  readonly confirmed: boolean
  /** What an unconfirmed poller waits for, for logs and refusals. */
  waitingFor: () => string
  /** Calls back after each change of the lists and when they become confirmed; returns a function that unsubscribes. */
  onChange: (listener: () => void) => () => void
  stop: () => Promise<void>
}

export type DocumentPollerOptions<Doc, Change, Index> = {
  /** What the document holds, for logs: "lists" or "routes". */
  subject: string
  /** Control VMs to ask; the list may change, and must not be empty. */
  targets: () => ReadonlyArray<PollTarget<Change>>
  apply: (document: Doc | undefined, change: Change) => Applied<Doc>
  index: (document: Doc) => Index
  vmId: string
  log: Logger
  clock: Clock
  random: Random
  /** `address:port` of the caller listener, shown by `orioleslip fleet`. */
  callerAddress?: string
  /** Time for which a control VM is asked to hold a poll, in ms. */
  holdMs?: number
  /** Time beyond the hold after which a control VM that does not answer is given up, in ms. */
  answerMarginMs?: number
}

const BACKOFF_MIN_MS = 100
const BACKOFF_MAX_MS = 2000
const REPORT_INTERVAL_MS = 10_000

/** Starts polling. With three control VMs a node that loses one asks the next within 100 ms. */
export function createDocumentPoller<Doc extends { revision: number }, Change, Index> (
  options: DocumentPollerOptions<Doc, Change, Index>
): DocumentPoller<Index> {
  const { subject, targets, vmId, log, clock, random, callerAddress, holdMs = POLL_WAIT_MS, answerMarginMs = ANSWER_MARGIN_MS } = options
  const listeners = new Set<() => void>()
  const stopping = new AbortController()
  // One per poll: clients don't always remove their listeners from a signal.
  let polling = new AbortController()
  let document: Doc | undefined
  let index: Index | undefined
  let confirmed = false
  // A delta did not fit; the next poll asks for the full document.
  let needsFull = false
  let lastProblem = 'no control VM has been asked yet'
  let reportedMs = -Infinity

  const revision = () => document?.revision ?? -1
  const notify = () => { for (const listener of listeners) listener() }

  function take (next: Doc, from: string): void {
    document = next
    index = options.index(next)
    log.info({ event: 'document', subject, revision: next.revision, control: from }, `${subject} in effect`)
    notify()
  }

  /** Applies an answer; false when this node is not at the answered revision afterwards. */
  function apply (change: Change, from: string): boolean {
    const applied = options.apply(document, change)
    switch (applied.kind) {
      case 'unchanged': return applied.revision === revision()
      case 'document':
        needsFull = false
        if (applied.document.revision < revision()) return false
        if (applied.document.revision > revision()) take(applied.document, from)
        return true
      case 'unfit':
        needsFull = true
        log.warn({ event: 'document', subject, revision: revision(), control: from }, `a change of the ${subject} does not fit; asking for the whole document`)
        return false
    }
  }

  /** One poll; true when the control VM may be asked again at once. */
  async function poll (target: PollTarget<Change>): Promise<boolean> {
    polling = new AbortController()
    const current = polling
    const answered = new AbortController()
    clock.sleep(holdMs + answerMarginMs, answered.signal).then(() => { if (!answered.signal.aborted) current.abort() })
    const asked = needsFull ? -1 : revision()
    try {
      const answer = await target.since({
        vmId, revision: asked, waitMs: holdMs, ...(callerAddress === undefined ? {} : { callerAddress })
      }, polling.signal)
      const applied = apply(answer.change, target.vmId)
      if (!answer.confirmed) {
        lastProblem = `control VM ${target.vmId} can't confirm that its ${subject} are current: ${answer.reason ?? 'no reason given'}`
        return false
      }
      if (!applied) {
        lastProblem = `control VM ${target.vmId} confirms another revision than ${revision()}, which this node has`
        // A revision below an accepted one can't be current; the control VMs have lost state.
        if (!needsFull) log.error({ event: 'older-revision', subject, revision: revision(), control: target.vmId }, 'a control VM confirms an older revision; check "orioleslip status"')
        return false
      }
      if (!confirmed && document !== undefined) {
        confirmed = true
        log.info({ event: 'confirmed', subject, revision: revision(), control: target.vmId }, `${subject} are confirmed as current`)
        notify()
      }
      return true
    } catch (err) {
      lastProblem = `control VM ${target.vmId} does not answer: ${err instanceof Error ? err.message : String(err)}`
      return false
    } finally {
      answered.abort()
    }
  }

  function report (): void {
    if (clock.nowMs() - reportedMs < REPORT_INTERVAL_MS) return
    reportedMs = clock.nowMs()
    log.warn({ event: 'unconfirmed', subject, revision: revision(), confirmed, problem: lastProblem },
      confirmed ? `${subject} can't be confirmed; the node keeps those in effect` : `waiting for a control VM that confirms the ${subject}`)
  }

  async function run (): Promise<void> {
    let failures = 0
    // Nodes start at different control VMs, so that none of them holds all polls.
    let at = random.int(targets().length)
    while (!stopping.signal.aborted) {
      const startMs = clock.nowMs()
      const before = revision()
      const known = targets()
      at %= known.length
      if (await poll(known[at]!)) {
        failures = 0
        // A control VM that answers without holding the poll must not be asked in a loop.
        if (revision() === before && clock.nowMs() - startMs < BACKOFF_MIN_MS) await clock.sleep(BACKOFF_MIN_MS, stopping.signal)
        continue
      }
      if (stopping.signal.aborted) break
      report()
      at = (at + 1) % known.length
      const round = Math.floor(failures / known.length)
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
      await Promise.all(targets().map((target) => target.close()))
    }
  }
}
