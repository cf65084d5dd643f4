import { callControl, createControlClient, type ControlCallError, type ControlClient } from '@orioleslip/control/client'
import type { Clock } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { ClientSettings } from './client-settings.js'
import { EXIT, type CliError } from './exit-codes.js'

export type Api = ControlClient['api']

/** What to make of an answer: take it, or ask another control VM. */
export type Verdict<T> =
  | { kind: 'take', value: T }
  /** This control VM can't do it now; `maybeApplied` when it may have done it. */
  | { kind: 'next', message: string, maybeApplied: boolean, fallback?: T }

export type ControlCalls = {
  /** Asks the control VMs in turn until one of them answers; a call must be safe to repeat. */
  ask: <T, A = T>(call: (api: Api) => Promise<A>, judge?: (answer: A) => Verdict<T>) => Promise<Result<T, CliError>>
  /** Asks every control VM once. */
  askAll: <A>(call: (api: Api) => Promise<A>) => Promise<Array<{ authority: string, answer: Result<A, ControlCallError> }>>
  close: () => Promise<void>
}

// An election takes up to 1.2 s; four rounds with these pauses cover it.
const ROUND_PAUSES_MS = [300, 800, 1500]
// Longer than a forwarded proposal takes at most (3.25 s), and short enough to pass over a frozen control VM.
const ANSWER_TIMEOUT_MS = 4500
const DENIED = new Set(['UNAUTHORIZED', 'FORBIDDEN'])

/** Creates the calls of a command. */
export function createControlCalls (
  settings: ClientSettings, clock: Clock, options: { connect?: (authority: string) => Pick<ControlClient, 'authority' | 'api' | 'close'> } = {}
): ControlCalls {
  const { controls, operator, key } = settings
  const clients = controls.map(options.connect ?? ((authority) =>
    createControlClient({ authority, principal: { kind: 'operator', name: operator }, key, clock, timeoutMs: ANSWER_TIMEOUT_MS })))

  async function ask<T, A = T> (
    call: (api: Api) => Promise<A>, judge: (answer: A) => Verdict<T> = (answer) => ({ kind: 'take', value: answer as unknown as T })
  ): Promise<Result<T, CliError>> {
    let maybeApplied = false
    let fallback: { value: T } | undefined
    let problems: string[] = []
    for (const pauseMs of [...ROUND_PAUSES_MS, undefined]) {
      problems = []
      for (const { authority, api } of clients) {
        const res = await callControl(call(api))
        if (res.isErr()) {
          const { error } = res
          if (error.kind === 'refused') {
            return err({ exitCode: DENIED.has(error.code) ? EXIT.denied : EXIT.usage, message: `${authority}: ${error.message}` })
          }
          maybeApplied ||= error.kind === 'lost'
          problems.push(`${authority}: ${error.message}`)
          continue
        }
        const verdict = judge(res.value)
        if (verdict.kind === 'take') return ok(verdict.value)
        maybeApplied ||= verdict.maybeApplied
        if (verdict.fallback !== undefined) fallback ??= { value: verdict.fallback }
        problems.push(`${authority}: ${verdict.message}`)
      }
      if (fallback !== undefined) return ok(fallback.value)
      if (pauseMs !== undefined) await clock.sleep(pauseMs)
    }
    return err({
      exitCode: maybeApplied ? EXIT.unknown : EXIT.unavailable,
      message: `${maybeApplied ? 'the outcome is unknown' : 'no control VM could do it; nothing was changed'}\n  ${problems.join('\n  ')}`
    })
  }

  return {
    ask,
    askAll: (call) => Promise.all(clients.map(async ({ authority, api }) => ({ authority, answer: await callControl(call(api)) }))),
    close: async () => { await Promise.all(clients.map((client) => client.close())) }
  }
}
