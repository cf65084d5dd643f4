import type { SinceAnswer } from '@orioleslip/control/client'
import { applyDelta, createListsIndex, type Clock, type ControlPeer, type ListsDocument, type ListsIndex, type Random } from '@orioleslip/core'
import type { Logger } from 'pino'
import { connectPollTarget, POLL_WAIT_MS, type PollTarget } from './control-poll.js'

/** Keeps the lists of this node current. */
export type ListsPoller = {
  /** The lists in effect on this node; the revision only increases. */
  current: () => ListsIndex | undefined
  /** True once a control VM has confirmed that the revision was current; stays true when no control VM can be reached later. */
  readonly confirmed: boolean
  /** What an unconfirmed poller waits for, for logs and refusals. */
  waitingFor: () => string
  /** Calls back after each change of the lists and when they become confirmed; returns a function that unsubscribes. */
  onChange: (listener: () => void) => () => void
  stop: () => Promise<void>
}

export type ListsPollerOptions = {
  controls: readonly ControlPeer[]
  fleetKey: string
  vmId: string
  log: Logger
  clock: Clock
  random: Random
  /** `address:port` of the caller listener, shown by `orioleslip fleet`. */
  callerAddress?: string
  connect?: (peer: ControlPeer) => PollTarget
}

const BACKOFF_MIN_MS = 100
const BACKOFF_MAX_MS = 2000
const REPORT_INTERVAL_MS = 10_000

/** Starts polling. With three control VMs a node that loses one asks the next within 100 ms. */
export function createListsPoller (options: ListsPollerOptions): ListsPoller {
  const { controls, fleetKey, vmId, log, clock, random, callerAddress } = options
  const targets = controls.map(options.connect ?? ((peer) => connectPollTarget(peer, fleetKey, clock)))
  const listeners = new Set<() => void>()
  const stopping = new AbortController()
  // One per poll: clients don't always remove their listeners from a signal.
  let polling = new AbortController()
  let document: ListsDocument | undefined
  let index: ListsIndex | undefined
  let confirmed = false
  // A delta did not fit; the next poll asks for the full document.
  let needsFull = false
  let lastProblem = 'no control VM has been asked yet'
  let reportedMs = -Infinity

  const revision = () => document?.revision ?? -1
  const notify = () => { for (const listener of listeners) listener() }

  function take (next: ListsDocument, from: string): void {
    document = next
    index = createListsIndex(next)
    log.info({ revision: next.revision, control: from }, 'Lists in effect')
    notify()
  }

  /** Applies an answer; false when this node is not at the answered revision afterwards. */
  function apply (change: SinceAnswer['change'], from: string): boolean {
    switch (change.kind) {
      case 'unchanged':
        return change.revision === revision()
      case 'full':
        needsFull = false
        if (change.document.revision < revision()) return false
        if (change.document.revision > revision()) take(change.document, from)
        return true
      case 'deltas': {
        let next = document
        for (const delta of change.deltas) next = next === undefined ? undefined : applyDelta(next, delta)
        if (next === undefined) {
          needsFull = true
          log.warn({ revision: revision(), control: from }, 'A delta of the lists does not fit; asking for the full document')
          return false
        }
        take(next, from)
        return true
      }
    }
  }

  /** One poll; true when the control VM may be asked again at once. */
  async function poll (target: PollTarget): Promise<boolean> {
    polling = new AbortController()
    const asked = needsFull ? -1 : revision()
    try {
      const answer = await target.since({
        vmId, revision: asked, waitMs: POLL_WAIT_MS, ...(callerAddress === undefined ? {} : { callerAddress })
      }, polling.signal)
      const applied = apply(answer.change, target.vmId)
      if (!answer.confirmed) {
        lastProblem = `control VM ${target.vmId} can't confirm that its lists are current: ${answer.reason ?? 'no reason given'}`
        return false
      }
      if (!applied) {
        lastProblem = `control VM ${target.vmId} confirms another revision than ${revision()}, which this node has`
        // A revision below an accepted one can't be current; the control VMs have lost state.
        if (answer.change.kind !== 'deltas') log.error({ revision: revision(), control: target.vmId }, 'A control VM confirms an older revision; check "orioleslip status"')
        return false
      }
      if (!confirmed) {
        confirmed = true
        log.info({ revision: revision(), control: target.vmId }, 'Lists are confirmed as current')
        notify()
      }
      return true
    } catch (err) {
      lastProblem = `control VM ${target.vmId} does not answer: ${err instanceof Error ? err.message : String(err)}`
      return false
    }
  }

  function report (): void {
    if (clock.nowMs() - reportedMs < REPORT_INTERVAL_MS) return
    reportedMs = clock.nowMs()
    log.warn({ revision: revision(), confirmed, problem: lastProblem },
      confirmed ? 'Lists can\'t be confirmed; the node keeps those in effect' : 'Waiting for a control VM that confirms the lists')
  }

  async function run (): Promise<void> {
    let failures = 0
    // Nodes start at different control VMs, so that none of them holds all polls.
    let at = random.int(targets.length)
    while (!stopping.signal.aborted) {
      const startMs = clock.nowMs()
      const before = revision()
      if (await poll(targets[at]!)) {
        failures = 0
        // A control VM that answers without holding the poll must not be asked in a loop.
        if (revision() === before && clock.nowMs() - startMs < BACKOFF_MIN_MS) await clock.sleep(BACKOFF_MIN_MS, stopping.signal)
        continue
      }
      if (stopping.signal.aborted) break
      report()
      at = (at + 1) % targets.length
      const round = Math.floor(failures / targets.length)
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
      await Promise.all(targets.map((target) => target.close()))
    }
  }
}
