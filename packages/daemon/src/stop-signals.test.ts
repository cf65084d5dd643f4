import test from 'ava'
import { pino } from 'pino'
import { EXIT } from './exit-codes.js'
import { handleStopSignals } from './stop-signals.js'

// Guards against a drain that can't be interrupted because the second signal is ignored, and against reporting it as a planned stop.
test.serial('the second signal ends a drain at once with exit code 1', async (t) => {
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

/** Sends the first signal to a process whose role is not started yet; returns its steps, and a promise of its exit code. */
function stopWhileStarting () {
  const steps: string[] = []
  let exit = (_code: number) => {}
  const exited = new Promise<number>((resolve) => { exit = resolve })
  const signals = handleStopSignals({ log: pino({ level: 'silent' }), exit: (code) => exit(code) })
  process.emit('SIGTERM', 'SIGTERM')
  const step = (name: string) => () => {
    steps.push(name)
    return Promise.resolve()
  }
  return { started: () => signals.started({ drain: step('drain'), stop: step('stop') }), steps, exited }
}

// Guards against requests that are cut because the signal arrives when the listeners of a starting process are open but not its last step.
test.serial('a signal that comes at the end of the start begins a planned stop', async (t) => {
  const { started, steps, exited } = stopWhileStarting()
  setImmediate(started)
  t.is(await exited, EXIT.ok)
  t.deepEqual(steps, ['drain', 'stop'])
})

// Guards against a process that outlives its grace because its start waits for other processes.
test.serial('a signal that comes long before the end of the start ends the process', async (t) => {
  const { steps, exited } = stopWhileStarting()
  t.is(await exited, EXIT.ok)
  t.deepEqual(steps, [])
})
