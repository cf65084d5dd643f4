import { keyInputs, runFromWire, runToWire, type FinishedRun, type KeyRegister, type RegisterError } from '@orioleslip/core'
import { errAsync, type ResultAsync } from 'neverthrow'
import type { z } from 'zod'
import type { KeyGroup, KeyProcedure } from '../api/key-calls.js'
import type { KeyCommand } from './commands.js'
import { createKeyStateMachine } from './state-machine.js'
import { createKeyRegister, type KeyRegisterOptions } from './key-register.js'

type Log = Parameters<typeof createKeyRegister>[0]

const malformed = (error: z.ZodError): RegisterError =>
  ({ kind: 'unavailable', outcome: 'not-applied', message: `malformed request to the key register: ${error.issues[0]?.message ?? ''}` })

/** Converts the finished run of a result, if any, to its JSON form. */
function toWire<Result extends { kind: string }> (result: Result | { kind: 'finished', run: FinishedRun }): unknown {
  return 'run' in result ? { ...result, run: runToWire(result.run) } : result
}

function callRegister (register: KeyRegister, procedure: KeyProcedure, input: unknown): ResultAsync<unknown, RegisterError> {
  switch (procedure) {
    case 'claim': {
      const parsed = keyInputs.claim.safeParse(input)
      return parsed.success ? register.claim(parsed.data).map(toWire) : errAsync(malformed(parsed.error))
    }
    case 'finish': {
      const parsed = keyInputs.finish.safeParse(input)
      if (!parsed.success) return errAsync(malformed(parsed.error))
      const { token, run, ...id } = parsed.data
      return register.finish(id, token, runFromWire(run))
    }
    case 'release': {
      const parsed = keyInputs.release.safeParse(input)
      return parsed.success ? register.release(parsed.data, parsed.data.token) : errAsync(malformed(parsed.error))
    }
    case 'cancel': {
      const parsed = keyInputs.cancel.safeParse(input)
      return parsed.success ? register.cancel(parsed.data, parsed.data.token).map(toWire) : errAsync(malformed(parsed.error))
    }
  }
}

/** Creates the key register as a log group of a control process. */
export function createKeyGroup (options: KeyRegisterOptions): KeyGroup {
  const machine = createKeyStateMachine()
  return {
    machine: {
      apply: (index, cmd) => machine.apply(index, cmd as KeyCommand),
      snapshot: () => machine.snapshot(),
      restore: (state) => machine.restore(state as Parameters<typeof machine.restore>[0])
    },
    connect: (log) => {
      const register = createKeyRegister(log as unknown as Log, options)
      return (procedure, input) => callRegister(register, procedure, input)
    }
  }
}
