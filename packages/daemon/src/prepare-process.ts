import type { Settings } from '@orioleslip/core'
import type { Logger } from 'pino'
import { EXIT } from './exit-codes.js'
import { createProcessLog, exitAfterFlush } from './process-log.js'
import { handleStopSignals } from './stop-signals.js'

/** Log, exit function and signal handlers of a process whose role is not started yet. */
export type PreparedProcess = { log: Logger, exit: (code: number) => void, signals: ReturnType<typeof handleStopSignals> }

/** Creates the log of this process and installs its handlers of unhandled failures and signals. */
export function prepareProcess (settings: Settings): PreparedProcess {
  const log = createProcessLog(settings)
  const exit = (code: number) => exitAfterFlush(log, code)
  const fail = (err: unknown) => {
    log.fatal({ event: 'failure', err }, 'Unexpected failure; the process stops')
    exit(EXIT.interrupted)
  }
  process.on('uncaughtException', fail)
  process.on('unhandledRejection', fail)
  // Without a handler, this signal would end the process.
  process.on('SIGHUP', () => log.info({ event: 'reload' }, 'Received SIGHUP; changed settings, such as new seeds, are read at the next start'))
  return { log, exit, signals: handleStopSignals({ log, exit }) }
}
