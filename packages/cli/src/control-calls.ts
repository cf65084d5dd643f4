import { callControl, createControlClient, type ControlCallError, type ControlClient } from '@orioleslip/control/client'
import type { Clock } from '@orioleslip/core'
import { err, ok, type Result } from 'neverthrow'
import type { ClientSettings } from './client-settings.js'
import { EXIT, type CliError } from './exit-codes.js'

/** Procedures of the control API. */
export type Api = ControlClient['api']

/** Decision on a reply: accept it, or send the request to the next control VM. */
export type Verdict<T> =
  | { kind: 'take', value: T }
  /** This control VM can't execute the request now; `maybeApplied` when it may already have executed it. */
  | { kind: 'next', message: string, maybeApplied: boolean, fallback?: T }

/** Requests of one command to the control VMs. */
export type ControlCalls = {
  /** Sends a request to the control VMs in turn until the reply of one is accepted; the call must be safe to repeat. */
  request: <T, A = T>(call: (api: Api) => Promise<A>, evaluate?: (reply: A) => Verdict<T>) => Promise<Result<T, CliError>>
  /** Sends a request to every control VM once. */
  requestAll: <A>(call: (api: Api) => Promise<A>) => Promise<Array<{ authority: string, reply: Result<A, ControlCallError> }>>
  close: () => Promise<void>
}

// Pauses between four rounds over the control VMs; they cover an election, which takes up to 1.2 s.
const ROUND_PAUSES_MS = [300, 800, 1500]
// Exceeds the longest time of a forwarded proposal (3.25 s), and is short enough to skip a frozen control VM.
const REPLY_TIMEOUT_MS = 4500
const DENIED_CODES = new Set(['UNAUTHORIZED', 'FORBIDDEN'])

/** Creates the client of the control VMs for one command. */
export function createControlCalls (
  settings: ClientSettings, clock: Clock, options: { connect?: (authority: string) => Pick<ControlClient, 'authority' | 'api' | 'close'> } = {}
): ControlCalls {
  const { controls, operator, key } = settings
  const clients = controls.map(options.connect ?? ((authority) =>
    createControlClient({ authority, principal: { kind: 'operator', name: operator }, key, clock, timeoutMs: REPLY_TIMEOUT_MS })))

  async function request<T, A = T> (
    call: (api: Api) => Promise<A>, evaluate: (reply: A) => Verdict<T> = (reply) => ({ kind: 'take', value: reply as unknown as T })
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
            return err({ exitCode: DENIED_CODES.has(error.code) ? EXIT.denied : EXIT.usage, message: `${authority}: ${error.message}` })
          }
          maybeApplied ||= error.kind === 'lost'
          problems.push(`${authority}: ${error.message}`)
          continue
        }
        const verdict = evaluate(res.value)
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
      message: `${maybeApplied ? 'the outcome is unknown' : 'no control VM could execute the command; nothing was changed'}\n  ${problems.join('\n  ')}`
    })
  }

  return {
    request,
    requestAll: (call) => Promise.all(clients.map(async ({ authority, api }) => ({ authority, reply: await callControl(call(api)) }))),
    close: async () => { await Promise.all(clients.map((client) => client.close())) }
  }
}
