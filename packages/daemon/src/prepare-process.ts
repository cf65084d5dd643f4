import type { Settings } from '@orioleslip/core'
import type { Logger } from 'pino'
import { EXIT } from './exit-codes.js'
import { createProcessLog, exitAfterFlush } from './process-log.js'
import { handleStopSignals } from './stop-signals.js'

/** What each process has before its role starts. */
export type PreparedProcess = { log: Logger, exit: (code: number) => void, signals: ReturnType<typeof handleStopSignals> }

/** Creates the log of this process, ends it on failures that nothing handles, and takes stop signals. */
export function prepareProcess (settings: Settings): PreparedProcess {
  const log = createProcessLog(settings)
  const exit = (code: number) => exitAfterFlush(log, code)
  const fail = (err: unknown) => {
    log.fatal({ event: 'failure', err }, 'Unexpected failure; the process stops')
    exit(EXIT.interrupted)
  }
  process.on('uncaughtException', fail)
  process.on('unhandledRejection', fail)
  return { log, exit, signals: handleStopSignals({ log, exit }) }
}
