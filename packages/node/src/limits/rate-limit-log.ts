import type { Clock } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { RateLimitNotice } from '../target/target-notices.js'

/** Time between two lines while a limit is named, in ms. */
const LINE_INTERVAL_MS = 1000
/** Characters of a malformed limit that are logged. */
const LOGGED_CHARS = 100

const MESSAGES: Record<RateLimitNotice['kind'], string> = {
  none: 'the target names no rate limit any more',
  named: 'the target names a rate limit',
  malformed: 'the target names a rate limit that is no decimal number; it is ignored'
}

/** Log of the rate limits that the local target names, with the calls that it was sent meanwhile. */
export type RateLimitLog = {
  /** Counts a call that is sent to the target. */
  sent: () => void
  /** Records the notice in a response of the target process `instance`. */
  noticed: (instance: string, notice: RateLimitNotice) => void
}

/** Creates the log: a line for each limit that begins, ends or can't be read, and one a second while a limit is named. */
export function createRateLimitLog (opts: { clock: Clock, log: Pick<Logger, 'info'> }): RateLimitLog {
  const { clock, log } = opts
  let logged: { instance: string, kind: RateLimitNotice['kind'] } = { instance: '', kind: 'none' }
  let lineMs = clock.nowMs()
  let sent = 0

  const write = (instance: string, notice: RateLimitNotice): void => {
    const perSecond = notice.kind === 'named' ? notice.perSecond : undefined
    const text = notice.kind === 'malformed' ? notice.text.slice(0, LOGGED_CHARS) : undefined
    const periodMs = Math.round(clock.nowMs() - lineMs)
    log.info({ event: 'target-rate-limit', instance, kind: notice.kind, perSecond, text, sent, periodMs }, MESSAGES[notice.kind])
    logged = { instance, kind: notice.kind }
    lineMs = clock.nowMs()
    sent = 0
  }
  return {
    sent: () => { sent++ },
    noticed: (instance, notice) => {
      const isNew = logged.kind !== notice.kind || (notice.kind !== 'none' && logged.instance !== instance)
      const isDue = notice.kind !== 'none' && clock.nowMs() - lineMs >= LINE_INTERVAL_MS
      if (isNew || isDue) write(instance, notice)
    }
  }
}
