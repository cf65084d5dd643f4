import type { Clock, TargetRecord } from '@orioleslip/core'
import type { Log } from './own-record.js'

/** Silence of the target after which it counts as gone. Targets announce themselves each second. */
export const TARGET_SILENCE_MS = 3000
const CHECK_INTERVAL_MS = 200
/** Longest time counted per check: the rest is time in which this process did not run and could not hear the target. */
const MAX_COUNTED_MS = 2 * CHECK_INTERVAL_MS

/** Announcement of the local target. */
export type TargetWatch = {
  /** Takes an announcement; the target repeats it each second. */
  announce: (target: TargetRecord) => void
  /** Publishes the last announced target as leaving, if there is one. */
  leave: () => void
  /** Last announcement, with state `gone` once it has expired. */
  current: () => TargetRecord | undefined
  start: () => void
  stop: () => void
}

export type TargetWatchOptions = {
  clock: Clock
  log: Log
  /** Called with each change, not with each repetition. */
  publish: (target: TargetRecord) => void
  /** Silence of the target after which it counts as gone, in ms. */
  silenceMs?: number
}

/** Creates the watch over the local target's announcements. */
export function createTargetWatch ({ clock, log, publish, silenceMs = TARGET_SILENCE_MS }: TargetWatchOptions): TargetWatch {
  const stopping = new AbortController()
  let current: TargetRecord | undefined
  let silentMs = 0

  const change = (target: TargetRecord) => {
    const same = current?.service === target.service && current.capacity === target.capacity && current.state === target.state
    current = target
    if (!same) publish(target)
  }

  const run = async () => {
    while (!stopping.signal.aborted) {
      const startMs = clock.nowMs()
      await clock.sleep(CHECK_INTERVAL_MS, stopping.signal)
      silentMs += Math.min(MAX_COUNTED_MS, clock.nowMs() - startMs)
      if (stopping.signal.aborted || current === undefined || current.state === 'gone' || silentMs < silenceMs) continue
      log.warn({ event: 'target', service: current.service, state: 'gone', silentMs }, 'target no longer announces itself; it gets no work until it does')
      change({ ...current, state: 'gone' })
    }
  }

  return {
    announce: (target) => {
      silentMs = 0
      change(target)
    },
    leave: () => { if (current !== undefined && current.state !== 'gone') change({ ...current, state: 'leaving' }) },
    current: () => current,
    start: () => { run() },
    stop: () => stopping.abort()
  }
}
