import test from 'ava'
import { pino } from 'pino'
import { EXIT } from './exit-codes.js'
import { handleStopSignals } from './stop-signals.js'

// Guards against a drain that can't be interrupted because the second signal is ignored, and against reporting it as a planned stop.
test('the second signal ends a drain at once with exit code 1', async (t) => {
  const codes: number[] = []
  const signals = handleStopSignals({ log: pino({ level: 'silent' }), exit: (code) => codes.push(code) })
  const steps: string[] = []
  let endDrain = () => {}
  signals.started({
    drain: () => new Promise((resolve) => {
      steps.push('drain')
      endDrain = resolve
    }),
    stop: () => {
      steps.push('stop')
      return Promise.resolve()
    }
  })
  process.emit('SIGTERM', 'SIGTERM')
  t.deepEqual(steps, ['drain'])
  process.emit('SIGTERM', 'SIGTERM')
  t.deepEqual(codes, [EXIT.interrupted])
  endDrain()
  await new Promise((resolve) => setImmediate(resolve))
  t.deepEqual(steps, ['drain', 'stop'])
})
