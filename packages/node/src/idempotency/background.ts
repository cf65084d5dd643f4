import { setMaxListeners } from 'node:events'
import type { ResultAsync } from 'neverthrow'
import type { Clock, RegisterError } from '@orioleslip/core'
import { createBackoff, within } from './within.js'

/** What this module logs with; a pino logger fits. */
export type OnceLog = { warn: (fields: object, message: string) => void }

// One try of a background command, in ms; longer than a leader election between regions (1 to 2 s).
const TRY_MS = 3000
// Commands waiting for the register at most. A finish with its answer takes up to 16 KiB plus headers, so 1000 of them stay below 32 MB.
const PENDING_LIMIT = 1000
// A command that failed for this long is given up; its key stays `dispatched`, which never allows a second run.
const GIVE_UP_MS = 3_600_000

/** Repeats register commands until they succeed. The commands are idempotent, so a lost reply does no harm. */
export function createBackground (clock: Clock, log: OnceLog) {
  const pending = new Set<Promise<void>>()
  const stopped = new AbortController()
  // Each pending command listens; the warning about more than 10 listeners would be wrong here.
  setMaxListeners(0, stopped.signal)

  async function repeat (what: string, id: { customer: string, key: string }, command: () => ResultAsync<unknown, RegisterError>) {
    const backoff = createBackoff(100, 5000)
    const startMs = clock.nowMs()
    while (!stopped.signal.aborted) {
      const result = await within(clock, TRY_MS, command(), stopped.signal)
      if (result?.isOk()) return
      if (clock.nowMs() - startMs >= GIVE_UP_MS) break
      await clock.sleep(backoff(), stopped.signal)
    }
    log.warn({ ...id, command: what, waitedMs: Math.round(clock.nowMs() - startMs) },
      'gave up recording at the key register; the key stays dispatched and resends get outcome-unknown')
  }

  return {
    /** Resolves when the command has succeeded or is given up. */
    start: (what: string, id: { customer: string, key: string }, command: () => ResultAsync<unknown, RegisterError>): Promise<void> => {
      if (pending.size >= PENDING_LIMIT) {
        log.warn({ ...id, command: what, pending: pending.size },
          'too many commands wait for the key register; the key stays dispatched and resends get outcome-unknown')
        return Promise.resolve()
      }
      const task = repeat(what, id, command).finally(() => { pending.delete(task) })
      pending.add(task)
      return task
    },
    pending: () => pending.size,
    /** Resolves when no command is waiting. */
    idle: async () => { while (pending.size > 0) await Promise.all(pending) },
    stop: () => stopped.abort()
  }
}
export type Background = ReturnType<typeof createBackground>
