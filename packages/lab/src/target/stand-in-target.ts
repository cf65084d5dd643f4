import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { createHash, randomUUID } from 'node:crypto'
import { appendFileSync } from 'node:fs'
import { HEADERS, WELL_KNOWN_PREFIX } from '@orioleslip/core'
import { Agent, request, type Dispatcher } from 'undici'
import { z } from 'zod'

/** A call that a stand-in target makes to another service while it handles an operation. */
export const downstreamSchema = z.strictObject({
  service: z.string(),
  method: z.enum(['GET', 'POST']).default('GET'),
  path: z.string(),
  /** Calls of the same stage run concurrently; stages run one after the other. */
  stage: z.number().int().default(0)
})

type DownstreamCall = z.infer<typeof downstreamSchema>

/** Behaviour of a stand-in target. */
export const targetSpecSchema = z.strictObject({
  service: z.string(),
  port: z.number().int(),
  /** Caller port of the node beside it. */
  nodePort: z.number().int(),
  host: z.string().default('127.0.0.1'),
  /** Requests that it handles at once; further ones wait in its queue. */
  slots: z.number().int().min(1).default(10),
  /** Requests that may wait for a slot; further ones are shed with status 503. */
  queue: z.number().int().min(0).default(1000),
  /** Capacity that it announces, by default the number of slots; another value simulates a wrong announcement. */
  announcedCapacity: z.number().int().min(1).optional(),
  /** Time for which a request occupies its slot besides the downstream calls, in ms. */
  workMs: z.number().min(0).default(5),
  coldStartMs: z.number().min(0).default(0),
  /** Bytes of padding in each response. */
  answerBytes: z.number().int().min(0).default(0),
  /** Downstream calls by method and first path segment, for example `GET /shifts`. */
  downstream: z.record(z.string(), z.array(downstreamSchema)).default({}),
  /** Times that it retries a failed downstream call, as client libraries do; 0 leaves retries to the node. */
  downstreamRetries: z.number().int().min(0).default(0),
  /** Delay before such a retry, in ms. */
  downstreamRetryDelayMs: z.number().min(0).default(0),
  /** Pause in the middle of each response body, in ms; above 0, the response is sent with chunked encoding. */
  answerPauseMs: z.number().min(0).default(0),
  /** File to which the idempotency key of each execution is appended; unlike the counters, it survives the process. */
  runLog: z.string().optional()
})
export type TargetSpec = z.input<typeof targetSpecSchema>

/** Behaviour that can be changed while the target runs, by `POST /_control`. */
const controlSchema = z.strictObject({
  workFactor: z.number().positive().optional(),
  failing: z.boolean().optional(),
  announce: z.boolean().optional(),
  state: z.enum(['starting', 'ready', 'leaving']).optional()
})

/** Counters of a target, served at `GET /_counts`. */
export type TargetCounts = {
  service: string
  started: number
  finished: number
  cancelled: number
  shed: number
  /** Slot time of all started requests, in ms. */
  busyMs: number
  /** Slot time of requests that were cancelled or failed, in ms. */
  wastedMs: number
  /** Executions of the operation, by idempotency key. */
  runsByKey: Record<string, number>
  /** Retries of downstream calls by the target itself. */
  downstreamRetries: number
}

/** A running stand-in target. */
export type StandInTarget = { counts: () => TargetCounts, close: () => Promise<void> }

const ANNOUNCE_INTERVAL_MS = 1000

/**
 * Starts a stand-in target: an HTTP server with slots, work time and downstream calls through the node beside it. Rejects when its port
 * can't be opened.
 */
export async function startStandInTarget (input: TargetSpec): Promise<StandInTarget> {
  const spec = targetSpecSchema.parse(input)
  const agent = new Agent({ connections: 256, pipelining: 1, keepAliveTimeout: 30_000 })
  const instance = randomUUID()
  const counts: TargetCounts = {
    service: spec.service, started: 0, finished: 0, cancelled: 0, shed: 0, busyMs: 0, wastedMs: 0, runsByKey: {}, downstreamRetries: 0
  }
  const behaviour = { workFactor: 1, failing: false, announce: true, state: spec.coldStartMs > 0 ? 'starting' : 'ready' }
  const nodeUrl = `http://${spec.host}:${spec.nodePort}`
  const filler = 'x'.repeat(spec.answerBytes)
  let busy = 0
  const waiting: Array<() => void> = []

  const acquireSlot = async (): Promise<boolean> => {
    if (busy < spec.slots) {
      busy++
      return true
    }
    if (waiting.length >= spec.queue) return false
    await new Promise<void>((resolve) => waiting.push(resolve))
    return true
  }
  // A released slot is handed over to the next waiter, so `busy` stays unchanged.
  const releaseSlot = () => {
    const nextWaiter = waiting.shift()
    if (nextWaiter === undefined) busy--
    else nextWaiter()
  }

  const callDownstream = async (req: IncomingMessage, call: DownstreamCall, signal: AbortSignal): Promise<unknown> => {
    for (let tries = 0; ; tries++) {
      try {
        return await callOnce(req, call, signal)
      } catch (err) {
        // A retry would return the same for responses below 500 other than 429.
        const permanent = err instanceof DownstreamError && !err.retryable
        if (permanent || signal.aborted || tries >= spec.downstreamRetries) throw err
        counts.downstreamRetries++
        await sleep(spec.downstreamRetryDelayMs, signal)
      }
    }
  }

  const callOnce = async (req: IncomingMessage, call: DownstreamCall, signal: AbortSignal): Promise<unknown> => {
    const headers: Record<string, string> = { [HEADERS.traceparent]: String(req.headers[HEADERS.traceparent] ?? '') }
    const key = req.headers[HEADERS.idempotencyKey]
    // Only writes carry a key, as repeated reads don't count as duplicates.
    if (typeof key === 'string' && call.method === 'POST') headers[HEADERS.idempotencyKey] = `${key}/${call.service}`
    const res = await request(`${nodeUrl}/${call.service}${call.path}`, { method: call.method, headers, dispatcher: agent, signal })
    const body = await res.body.json()
    if (res.statusCode >= 400) throw new DownstreamError(call.service, res)
    return body
  }

  const runStages = async (req: IncomingMessage, calls: DownstreamCall[], signal: AbortSignal): Promise<unknown[]> => {
    const results: unknown[] = []
    for (const stage of [...new Set(calls.map((call) => call.stage))].sort((a, b) => a - b)) {
      const parallelCalls = calls.filter((call) => call.stage === stage)
      results.push(...await Promise.all(parallelCalls.map((call) => callDownstream(req, call, signal))))
    }
    return results
  }

  const handleOperation = async (req: IncomingMessage, res: ServerResponse, bodySha256: string, bodyBytes: number) => {
    const disconnected = new AbortController()
    res.on('close', () => { if (!res.writableFinished) disconnected.abort() })
    if (!(await acquireSlot())) {
      counts.shed++
      return sendJson(res, 503, { error: 'no slot' })
    }
    const startedMs = performance.now()
    try {
      if (disconnected.signal.aborted) {
        counts.cancelled++
        return
      }
      counts.started++
      const key = req.headers[HEADERS.idempotencyKey]
      if (typeof key === 'string') {
        counts.runsByKey[key] = (counts.runsByKey[key] ?? 0) + 1
        if (spec.runLog !== undefined) appendFileSync(spec.runLog, `${key}\n`)
      }
      await sleep(spec.workMs * behaviour.workFactor, disconnected.signal)
      const segment = `/${(req.url ?? '').split(/[/?]/)[1] ?? ''}`
      const downstream = await runStages(req, spec.downstream[`${req.method} ${segment}`] ?? [], disconnected.signal)
      if (disconnected.signal.aborted) throw new Error('the caller closed the connection')
      if (behaviour.failing) return sendJson(res, 500, { error: 'failing as configured' })
      counts.finished++
      const requestId = req.headers[HEADERS.requestId]
      const body = { service: spec.service, requestId, path: req.url, bodySha256, bodyBytes, downstream, filler }
      if (spec.answerPauseMs === 0) sendJson(res, 200, body)
      else await sendInTwoChunks(res, body, spec.answerPauseMs, disconnected.signal)
    } catch (err) {
      if (disconnected.signal.aborted) counts.cancelled++
      counts.wastedMs += performance.now() - startedMs
      if (err instanceof DownstreamError) sendJson(res, err.status, { error: err.message }, err.retryAfter)
      else sendJson(res, 502, { error: String(err) })
    } finally {
      counts.busyMs += performance.now() - startedMs
      releaseSlot()
    }
  }

  const server = createServer((req, res) => {
    if (req.url === '/_counts') return sendJson(res, 200, counts)
    readBody(req).then(async ({ text, sha256, bytes }) => {
      if (req.url !== '/_control') return handleOperation(req, res, sha256, bytes)
      Object.assign(behaviour, controlSchema.parse(JSON.parse(text)))
      announce().catch(() => undefined)
      sendJson(res, 200, { ok: true })
    }).catch(() => res.destroy())
  })
  server.keepAliveTimeout = 30_000
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(spec.port, spec.host, resolve)
  })

  const announce = async () => {
    if (!behaviour.announce) return
    const { service, port } = spec
    const body = JSON.stringify({ service, port, capacity: spec.announcedCapacity ?? spec.slots, state: behaviour.state, instance })
    const headers = { 'content-type': 'application/json' }
    const res = await request(`${nodeUrl}${WELL_KNOWN_PREFIX}target`, { method: 'PUT', body, headers, dispatcher: agent })
    await res.body.dump()
  }
  const timer = setInterval(() => { announce().catch(() => undefined) }, ANNOUNCE_INTERVAL_MS)
  const coldStart = setTimeout(() => {
    if (behaviour.state === 'starting') behaviour.state = 'ready'
    announce().catch(() => undefined)
  }, spec.coldStartMs)
  announce().catch(() => undefined)

  return {
    counts: () => counts,
    close: async () => {
      clearInterval(timer)
      clearTimeout(coldStart)
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
      await agent.destroy()
    }
  }
}

class DownstreamError extends Error {
  readonly status: number
  readonly retryAfter: string | undefined
  readonly retryable: boolean
  constructor (service: string, res: Dispatcher.ResponseData) {
    super(`the call to ${service} ended with ${res.statusCode}`)
    this.status = res.statusCode >= 500 ? res.statusCode : 502
    this.retryable = res.statusCode >= 500 || res.statusCode === 429
    const retryAfter = res.headers[HEADERS.retryAfter]
    this.retryAfter = typeof retryAfter === 'string' ? retryAfter : undefined
  }
}

function sendJson (res: ServerResponse, status: number, body: unknown, retryAfter?: string): void {
  if (res.destroyed || res.headersSent) return
  const bytes = Buffer.from(JSON.stringify(body))
  const retry = retryAfter === undefined ? {} : { [HEADERS.retryAfter]: retryAfter }
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length, ...retry })
  res.end(bytes)
}

async function sendInTwoChunks (res: ServerResponse, body: unknown, pauseMs: number, signal: AbortSignal): Promise<void> {
  const text = JSON.stringify(body)
  const middle = Math.floor(text.length / 2)
  res.writeHead(200, { 'content-type': 'application/json' })
  res.write(text.slice(0, middle))
  await sleep(pauseMs, signal)
  res.end(text.slice(middle))
}

async function readBody (req: IncomingMessage): Promise<{ text: string, sha256: string, bytes: number }> {
  const hash = createHash('sha256')
  let text = ''
  let bytes = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    hash.update(chunk)
    bytes += chunk.length
    if (bytes <= 64 * 1024) text += chunk.toString()
  }
  return { text, sha256: hash.digest('hex'), bytes }
}

function sleep (ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const abort = () => {
      clearTimeout(timer)
      reject(new Error('the caller closed the connection'))
    }
    const timer = setTimeout(() => {
      signal.removeEventListener('abort', abort)
      resolve()
    }, ms)
    signal.addEventListener('abort', abort, { once: true })
  })
}
