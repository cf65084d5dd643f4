import { createCanceller, type Clock, type TargetRecord } from '@orioleslip/core'
import type { Log } from './self-record.js'

/** Time without an announcement after which the target counts as gone, in ms. Targets announce themselves every second. */
export const TARGET_SILENCE_MS = 3000
/** Longest time between two checks, in ms. */
const CHECK_INTERVAL_MS = 1000
/** Delay of a check that counts as silence, in ms; in any time beyond it this process did not run and could receive no announcement. */
const MAX_DELAY_MS = 200

/** Watch over the announcements of the local target. */
export type TargetWatch = {
  /** Handles an announcement; the target repeats it every second. */
  announce: (target: TargetRecord) => void
  /** Publishes the target as leaving, unless none was announced or it is gone. */
  leave: () => void
  /** Publishes the target as gone, because its process has ended by itself. */
  ended: () => void
  /** Last announcement, with state `gone` once it has expired. */
  current: () => TargetRecord | undefined
  start: () => void
  stop: () => void
}

/** Dependencies of `createTargetWatch`. */
export type TargetWatchOptions = {
  clock: Clock
  log: Log
  /** Called for each change, not for repeated announcements. */
  publish: (target: TargetRecord) => void
  /** Time without an announcement after which the target counts as gone, in ms. */
  silenceMs?: number
}

/** Creates the watch. */
export function createTargetWatch ({ clock, log, publish, silenceMs = TARGET_SILENCE_MS }: TargetWatchOptions): TargetWatch {
  const stopping = createCanceller()
  let current: TargetRecord | undefined
  let silentMs = 0
  let heardMs = -Infinity

  const change = (target: TargetRecord) => {
    const same = current?.service === target.service && current.capacity === target.capacity && current.state === target.state
    current = target
    if (!same) publish(target)
  }

  const run = async () => {
    while (!stopping.signal.aborted) {
      const startMs = clock.nowMs()
      const waitMs = current === undefined || current.state === 'gone' ? CHECK_INTERVAL_MS : Math.min(CHECK_INTERVAL_MS, silenceMs - silentMs)
      await clock.sleep(waitMs, stopping.signal)
      silentMs += Math.min(waitMs + MAX_DELAY_MS, clock.nowMs() - Math.max(startMs, heardMs))
      if (stopping.signal.aborted || current === undefined || current.state === 'gone' || silentMs < silenceMs) continue
      log.warn({ event: 'target', service: current.service, state: 'gone', silentMs }, 'target no longer announces itself; it gets no work until it does')
      change({ ...current, state: 'gone' })
    }
  }

  return {
    announce: (target) => {
      silentMs = 0
      heardMs = clock.nowMs()
      change(target)
    },
    leave: () => { if (current !== undefined && current.state !== 'gone') change({ ...current, state: 'leaving' }) },
    ended: () => { if (current !== undefined) change({ ...current, state: 'gone' }) },
    current: () => current,
    start: () => { run() },
    stop: () => stopping.abort()
  }
}
