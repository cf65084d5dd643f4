import { systemClock } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { RunningRole } from './roles.js'
import { EXIT } from './exit-codes.js'

/**
 * Longest wait for the end of a start that the signal interrupts, in ms. Listeners are opened at the end of a start, so that requests may
 * be open; the rest of the grace has to suffice for the planned stop.
 */
const START_TIMEOUT_MS = 300

/** Runs the planned stop on the first SIGTERM or SIGINT; the second one ends the process at once. */
export function handleStopSignals (options: { log: Logger, exit: (code: number) => void }): { started: (role: RunningRole) => void } {
  const { log, exit } = options
  let running: RunningRole | undefined
  let stopping = false
  let endStart = () => {}
  const startEnded = new Promise<void>((resolve) => { endStart = resolve })

  async function stop (): Promise<void> {
    if (running === undefined) await Promise.race([startEnded, systemClock.sleep(START_TIMEOUT_MS)])
    await running?.drain()
    await running?.stop()
    log.info({ event: 'stop' }, 'Stopped')
    exit(EXIT.ok)
  }

  const onSignal = (signal: NodeJS.Signals) => {
    if (stopping) {
      log.warn({ event: 'signal', signal }, 'Second signal: stopping at once; work in flight is interrupted')
      exit(EXIT.interrupted)
      return
    }
    stopping = true
    log.info({ event: 'signal', signal }, 'Stopping; send the signal again to stop at once')
    stop().catch((err: unknown) => {
      log.fatal({ event: 'failure', err }, 'The planned stop failed')
      exit(EXIT.interrupted)
    })
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
  return {
    started: (role) => {
      running = role
      endStart()
    }
  }
}
