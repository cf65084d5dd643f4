import { createHash } from 'node:crypto'
import { request as httpRequest, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import { HEADERS } from '@orioleslip/core'
import type { OperationKind } from '../matrix/cells.js'
import type { CallOutcome } from '../matrix/call.js'
import { CUSTOMER } from './fleet-spec.js'

/** A request of the load; all its tries have the same `key`. */
export type LoadRequest = { operation: OperationKind, id: number, key: string }

/** How one try ended. */
export type TryResult = {
  told: CallOutcome
  /** System error of a broken connection, for example `ECONNREFUSED`. */
  errorCode?: string
  /** Whether the connection had been used for an earlier request. */
  reusedSocket: boolean
  requestId?: string
  retryAfterS?: number
}

const METHODS: Record<OperationKind, string> = { claim: 'POST', read: 'GET', upload: 'PUT' }
const PATHS: Record<OperationKind, string> = { claim: 'claims', read: 'shifts', upload: 'sheets' }
const UPLOAD_BYTES = 1_000_000
const BODY_BYTES: Record<OperationKind, number> = { claim: 200, read: 0, upload: UPLOAD_BYTES }
const CHUNK_BYTES = 50_000
/** Pause between the chunks of an upload, in ms; an upload takes about 600 ms, so that it spans the steps of a node's stop. */
const CHUNK_PAUSE_MS = 30
/** Longer than the deadline of the operations, so that the client receives the node's refusal. */
const CALL_TIMEOUT_MS = 12_000

/** Sends a request once to the node at `url` and waits for the result. */
export function sendOnce (url: string, { operation, id, key }: LoadRequest, agent: Agent): Promise<TryResult> {
  const body = Buffer.alloc(BODY_BYTES[operation], key)
  const headers: Record<string, string | number> = { [HEADERS.customer]: CUSTOMER }
  if (operation !== 'read') headers['content-length'] = body.length
  if (operation === 'claim') headers[HEADERS.idempotencyKey] = key
  const req = httpRequest(`${url}/desk/${PATHS[operation]}/${id}`, { method: METHODS[operation], headers, agent })
  const result = waitForEnd(req, body)
  sendBody(req, body).catch((err: Error) => req.destroy(err))
  return result
}

async function sendBody (req: ClientRequest, body: Buffer): Promise<void> {
  if (body.length <= CHUNK_BYTES) {
    req.end(body)
    return
  }
  for (let at = 0; at < body.length && !req.destroyed; at += CHUNK_BYTES) {
    req.write(body.subarray(at, at + CHUNK_BYTES))
    await new Promise((resolve) => setTimeout(resolve, CHUNK_PAUSE_MS))
  }
  req.end()
}

function waitForEnd (req: ClientRequest, body: Buffer): Promise<TryResult> {
  return new Promise((resolve) => {
    const broken = (err: NodeJS.ErrnoException) => resolve({
      told: { kind: 'broken', message: err.message }, reusedSocket: req.reusedSocket, ...(err.code === undefined ? {} : { errorCode: err.code })
    })
    req.setTimeout(CALL_TIMEOUT_MS, () => req.destroy(new Error('no response')))
    req.on('error', broken)
    req.on('response', (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', broken)
      res.on('close', () => {
        if (!res.complete) return broken(new Error('the response was cut off'))
        resolve({ told: outcomeOf(res, Buffer.concat(chunks).toString(), body), reusedSocket: req.reusedSocket, ...headersOf(res) })
      })
    })
  })
}

function headersOf ({ headers }: IncomingMessage): Pick<TryResult, 'requestId' | 'retryAfterS'> {
  const requestId = headers[HEADERS.requestId]
  const retryAfterS = Number(headers[HEADERS.retryAfter])
  return { ...(typeof requestId === 'string' ? { requestId } : {}), ...(Number.isFinite(retryAfterS) ? { retryAfterS } : {}) }
}

function outcomeOf (res: IncomingMessage, text: string, body: Buffer): CallOutcome {
  const status = res.statusCode ?? 0
  const outcome = String(res.headers[HEADERS.outcome] ?? '')
  const response = parse(text)
  if (outcome !== 'complete') return { kind: 'refused', status, outcome, code: response.type ?? '' }
  // A response belongs to the request if it contains the digest of the request's body and the response of the downstream call.
  const sha256 = createHash('sha256').update(body).digest('hex')
  const chained = response.downstream?.length === 1
  return { kind: 'complete', status, whole: chained && response.bodySha256 === sha256 && response.bodyBytes === body.length }
}

function parse (text: string): { type?: string, bodySha256?: string, bodyBytes?: number, downstream?: unknown[] } {
  try {
    return JSON.parse(text) as object
  } catch {
    return {}
  }
}
