import type { ResultAsync } from 'neverthrow'
import { createCanceller, withTimeout, type Clock, type RegisterError } from '@orioleslip/core'
import { createBackoff } from './backoff.js'

/** Logger of the guard, such as a pino logger. */
export type GuardLog = { warn: (fields: object, message: string) => void }

// Timeout of one attempt, in ms; longer than a leader election between regions (1 to 2 s).
const ATTEMPT_TIMEOUT_MS = 3000
// Maximum number of pending commands. A `finish` holds a response of up to 16 KiB plus headers, so 1000 of them stay below 32 MB.
const MAX_PENDING_COMMANDS = 1000
// A command that has failed for this long is abandoned; its key stays `dispatched`, which never allows a second run.
const MAX_RETRY_MS = 3_600_000

/** Creates the executor of register commands that are retried until they succeed. They are idempotent, so a lost reply does no harm. */
export function createBackgroundCommands (clock: Clock, log: GuardLog) {
  const pending = new Set<Promise<void>>()
  const stopped = createCanceller()

  async function repeat (what: string, id: { customer: string, key: string }, command: () => ResultAsync<unknown, RegisterError>) {
    const backoff = createBackoff(100, 5000)
    const startMs = clock.nowMs()
    while (!stopped.signal.aborted) {
      const result = await withTimeout(clock, ATTEMPT_TIMEOUT_MS, command(), stopped.signal)
      if (result?.isOk()) return
      if (clock.nowMs() - startMs >= MAX_RETRY_MS) break
      await clock.sleep(backoff(), stopped.signal)
    }
    log.warn({ ...id, command: what, waitedMs: Math.round(clock.nowMs() - startMs) },
      'command to the key register abandoned; the key stays dispatched and resends get outcome-unknown')
  }

  return {
    /** Resolves when the command has succeeded or is abandoned. */
    start: (what: string, id: { customer: string, key: string }, command: () => ResultAsync<unknown, RegisterError>): Promise<void> => {
      if (pending.size >= MAX_PENDING_COMMANDS) {
        log.warn({ ...id, command: what, pending: pending.size },
          'command to the key register dropped, too many are pending; the key stays dispatched and resends get outcome-unknown')
        return Promise.resolve()
      }
      const task = repeat(what, id, command).finally(() => { pending.delete(task) })
      pending.add(task)
      return task
    },
    pending: () => pending.size,
    /** Resolves when no command is pending. */
    idle: async () => { while (pending.size > 0) await Promise.all(pending) },
    /** Abandons all pending commands. */
    stop: () => stopped.abort()
  }
}

/** Executor of background commands. */
export type BackgroundCommands = ReturnType<typeof createBackgroundCommands>
