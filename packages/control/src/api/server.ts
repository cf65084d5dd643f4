import type { AddressInfo } from 'node:net'
import { createServer } from 'node:http'
import { getRequestListener } from '@hono/node-server'
import {
  closeConnectionsInOrder, createEndableApp, stopServer, trackIdleConnections, withWholeBodies,
  type BodyLimit, type RequestVerifier
} from '@orioleslip/core'
import { fetchRequestHandler } from '@trpc/server/adapters/fetch'
import { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import type { Logger } from 'pino'
import type { RefusedChange } from './refused-change-log.js'
import type { ApiContext, ApiRouter } from './trpc.js'

export type ApiServer = {
  port: number
  /** Stops the server within `timeoutMs`, by default 4 s; calls that are open shortly before are refused, their outcome is unknown. */
  stop: (timeoutMs?: number) => Promise<void>
}

export type ListenError = { kind: 'listenFailed', message: string }

// Room for the largest lists and for a snapshot chunk of up to 4 MiB in base64.
const BODY_LIMIT: BodyLimit = { maxBytes: 8 * 1024 * 1024, tooLarge: { type: 'text/plain', text: 'the body exceeds 8 MiB' } }
// Exceeds the log's limit for a proposal (3 s), so that operators get the reply to an edit in progress.
const CLOSE_TIMEOUT_MS = 4000
/** Part of the stop in which the connections of the calls that it refused close, in ms. */
const LAST_ANSWERS_MS = 200

/** Starts the control API. Port 0 selects a free port, for tests. */
export function startApiServer (options: {
  address: string
  port: number
  /** `address:port` that the signatures of requests cover. */
  authority: string
  verify: RequestVerifier
  recordRefusedChange: (change: RefusedChange) => void
  router: ApiRouter
  log: Logger
}): Promise<Result<ApiServer, ListenError>> {
  const { address, authority, verify, recordRefusedChange, router, log } = options
  const app = new Hono()
  app.all('/trpc/*', async (ctx) => {
    const { method, url, headers, signal } = ctx.req.raw
    const { pathname, search } = new URL(url)
    // The signature covers the body, so the body is read before the caller is authenticated.
    const body = method === 'GET' ? '' : await ctx.req.text()
    const caller = verify(headers.get('authorization') ?? undefined, { method, authority, path: pathname + search, body })
    const context: ApiContext = { caller, recordRefusedChange }
    return await fetchRequestHandler({
      endpoint: '/trpc',
      router,
      req: new Request(url, { method, headers, signal, ...(method === 'GET' ? {} : { body }) }),
      createContext: () => context,
      onError: ({ error, path }) => {
        if (error.code === 'INTERNAL_SERVER_ERROR') log.error({ err: error, path }, 'Control API call failed')
        else log.debug({ path, code: error.code, reason: error.message }, 'Control API call refused')
      }
    })
  })

  return new Promise((resolve) => {
    const { fetch, refuseOpen } = createEndableApp(app.fetch, 'the control process is stopping; ask another control VM')
    const server = createServer(withWholeBodies(getRequestListener(fetch), BODY_LIMIT))
    closeConnectionsInOrder(server, trackIdleConnections(server))
    server.once('error', (cause: NodeJS.ErrnoException) => {
      const remedy = cause.code === 'EADDRINUSE' ? 'stop the other process or change control.apiPort' : 'check vm.address and control.apiPort'
      resolve(err({ kind: 'listenFailed', message: `cannot listen on ${address}:${options.port} (${cause.code ?? cause.message}); ${remedy}` }))
    })
    server.once('listening', () => resolve(ok({
      port: (server.address() as AddressInfo).port,
      stop: (timeoutMs = CLOSE_TIMEOUT_MS) => stopServer(server, timeoutMs, { afterMs: timeoutMs - LAST_ANSWERS_MS, refuseOpen })
    })))
    server.listen(options.port, address)
  })
}
