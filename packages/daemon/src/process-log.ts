import { systemClock, type Clock, type Settings } from '@orioleslip/core'
import { pino, type DestinationStream, type Logger } from 'pino'

/** Rate limit of the lines of one event: sustained lines per second, and lines that may be written at once. */
const LINES_PER_SECOND = 20
const BURST_LINES = 100
/** Bytes buffered for a slow reader of standard output; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024

type Bucket = { lines: number, atMs: number, leftOut: number }

export type ProcessLogOptions = {
  clock?: Clock
  /** Standard output by default, written asynchronously. */
  destination?: DestinationStream
}

/**
 * Creates the log of a process: JSON lines on standard output. Lines with an `event` field are rate-limited for each event; the next
 * line written for that event gives the number of suppressed lines as `leftOut`.
 */
export function createProcessLog ({ log, vm, role }: Pick<Settings, 'log' | 'vm' | 'role'>, options: ProcessLogOptions = {}): Logger {
  const { clock = systemClock } = options
  const destination = options.destination ?? pino.destination({ dest: 1, sync: false, maxLength: MAX_BUFFERED_BYTES })
  const buckets = new Map<string, Bucket>()

  const takeToken = (event: string): Bucket | undefined => {
    const nowMs = clock.nowMs()
    const bucket = buckets.get(event) ?? { lines: BURST_LINES, atMs: nowMs, leftOut: 0 }
    buckets.set(event, bucket)
    bucket.lines = Math.min(BURST_LINES, bucket.lines + (nowMs - bucket.atMs) / 1000 * LINES_PER_SECOND)
    bucket.atMs = nowMs
    if (bucket.lines < 1) {
      bucket.leftOut++
      return undefined
    }
    bucket.lines--
    return bucket
  }

  return pino({
    level: log.level,
    base: { vm: vm.id, role },
    hooks: {
      logMethod (args, method) {
        const [fields] = args as unknown[]
        if (!hasEvent(fields)) return method.apply(this, args)
        const bucket = takeToken(fields.event)
        if (bucket === undefined) return
        const { leftOut } = bucket
        bucket.leftOut = 0
        method.apply(this, leftOut === 0 ? args : [{ ...fields, leftOut }, ...(args as unknown[]).slice(1)] as typeof args)
      }
    }
  }, destination)
}

/** Longest time for flushing the log at exit, in ms, in case nothing reads standard output. */
const FLUSH_TIMEOUT_MS = 200

/** Exits once the buffered lines are written, or after 200 ms when nothing reads them. */
export function exitAfterFlush (log: Logger, code: number): void {
  setTimeout(() => process.exit(code), FLUSH_TIMEOUT_MS)
  log.flush(() => process.exit(code))
}

function hasEvent (fields: unknown): fields is { event: string } {
  return typeof fields === 'object' && fields !== null && 'event' in fields && typeof fields.event === 'string'
}
