import { createTRPCClient, httpLink, TRPCClientError, type TRPCClient } from '@trpc/client'
import { authorizeRequest, type Clock, type Principal, type RegisterError } from '@orioleslip/core'
import { err, ok, ResultAsync, type Result } from 'neverthrow'
import { Agent, request, type Dispatcher } from 'undici'
import type { KeyCallReply, KeyProcedure } from './key-calls.js'
import type { RoutesRouter } from '../routes/router.js'
import type { ControlRouter } from './router.js'

/** Failure of a control API call. */
export type ControlCallError =
  /** No connection: the call was not applied. */
  | { kind: 'unreachable', message: string }
  /** The control VM refused the call; `code` is the tRPC code. */
  | { kind: 'refused', code: string, message: string }
  /** No complete reply: the call may have been applied. */
  | { kind: 'lost', message: string }

/** Client of a control VM that keeps lists and keys. */
export type ControlClient = {
  authority: string
  api: TRPCClient<ControlRouter>
  /** Calls a procedure of the key register, for the register client of nodes. */
  keyCall: (procedure: KeyProcedure, input: unknown) => ResultAsync<unknown, RegisterError>
  close: () => Promise<void>
}

export type ControlClientOptions = {
  /** `address:port` of the control VM, as in its settings. */
  authority: string
  /** Authority that the signature covers, where it differs from `authority`, for example behind network address translation. */
  signedAuthority?: string
  principal: Principal
  key: string
  clock: Clock
  /** Longest wait for a reply, in ms. */
  timeoutMs?: number
}

const CONNECT_TIMEOUT_MS = 1000
const DEFAULT_TIMEOUT_MS = 8000
const NOT_CONNECTED = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** The part of a response that tRPC reads; a full `Response` would add streams that nothing here needs. */
type FetchedResponse = { ok: boolean, json: () => Promise<unknown> }

/** Creates the signed transport to one control VM. */
function createSignedTransport (options: ControlClientOptions) {
  const { authority, signedAuthority = authority, principal, key, clock, timeoutMs = DEFAULT_TIMEOUT_MS } = options
  const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: 10_000 })

  const signedFetch = async (url: string | URL | Request, init: RequestInit = {}): Promise<FetchedResponse> => {
    const { pathname, search } = new URL(String(url))
    const { method = 'GET' } = init
    const body = typeof init.body === 'string' ? init.body : ''
    const signed = { method, authority: signedAuthority, path: pathname + search, body }
    const authorization = authorizeRequest(principal, key, signed, clock.wallMs())
    // AbortSignal.any would leave an entry in a long-lived signal for each call.
    const abort = new AbortController()
    const cancel = () => abort.abort(new Error('the call was cancelled'))
    const timer = setTimeout(() => abort.abort(new Error(`no reply within ${timeoutMs} ms`)), timeoutMs)
    init.signal?.addEventListener('abort', cancel, { once: true })
    try {
      const res = await request(String(url), {
        method: method as Dispatcher.HttpMethod,
        headers: { 'content-type': 'application/json', authorization },
        ...(method === 'GET' ? {} : { body }),
        signal: abort.signal,
        dispatcher
      })
      const text = await res.body.text()
      return { ok: res.statusCode < 400, json: async () => JSON.parse(text) as unknown }
    } finally {
      clearTimeout(timer)
      init.signal?.removeEventListener('abort', cancel)
    }
  }

  return { url: `http://${authority}/trpc`, fetch: signedFetch, close: () => dispatcher.destroy() }
}

/** Client of a control VM that keeps routes. */
export type RoutesClient = { authority: string, api: TRPCClient<RoutesRouter>, close: () => Promise<void> }

/** Creates a client of one control VM that keeps routes; it signs each request. */
export function createRoutesClient (options: ControlClientOptions): RoutesClient {
  const { url, fetch, close } = createSignedTransport(options)
  return { authority: options.authority, api: createTRPCClient<RoutesRouter>({ links: [httpLink({ url, fetch })] }), close }
}

/** Creates a client of one control VM that signs each request. */
export function createControlClient (options: ControlClientOptions): ControlClient {
  const { url, fetch, close } = createSignedTransport(options)
  const api = createTRPCClient<ControlRouter>({ links: [httpLink({ url, fetch })] })
  return {
    authority: options.authority,
    api,
    keyCall: (procedure, input) => new ResultAsync((async (): Promise<Result<unknown, RegisterError>> => {
      const res = await callControl<KeyCallReply>(api.keys[procedure].mutate(input))
      if (res.isErr()) return err(toRegisterError(res.error))
      return res.value.kind === 'done' ? ok(res.value.value) : err(res.value.problem)
    })()),
    close
  }
}

function toRegisterError (problem: ControlCallError): RegisterError {
  return { kind: 'unavailable', outcome: problem.kind === 'lost' ? 'unknown' : 'not-applied', message: problem.message }
}

/** Awaits a call and classifies its failure by whether the call may have been applied. */
export function callControl<T> (call: Promise<T>): ResultAsync<T, ControlCallError> {
  return ResultAsync.fromPromise(call, toCallError)
}

function causeCodes (cause: unknown): string[] {
  if (!(cause instanceof Error)) return []
  const code = 'code' in cause ? [String(cause.code)] : []
  return [...code, ...causeCodes(cause.cause)]
}

function rootMessage (cause: Error): string {
  return cause.cause instanceof Error ? rootMessage(cause.cause) : cause.message
}

function toCallError (cause: unknown): ControlCallError {
  if (!(cause instanceof Error)) return { kind: 'lost', message: String(cause) }
  if (cause instanceof TRPCClientError) {
    const data: unknown = cause.data
    if (typeof data === 'object' && data !== null && 'code' in data) return toRefusal(String(data.code), cause.message)
  }
  const message = rootMessage(cause) || cause.message
  return causeCodes(cause).some((code) => NOT_CONNECTED.has(code)) ? { kind: 'unreachable', message } : { kind: 'lost', message }
}

function toRefusal (code: string, message: string): ControlCallError {
  // An internal error may occur after the call took effect.
  return code === 'INTERNAL_SERVER_ERROR' ? { kind: 'lost', message } : { kind: 'refused', code, message }
}
