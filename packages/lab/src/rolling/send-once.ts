import { createHash } from 'node:crypto'
import { request as httpRequest, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import { HEADERS } from '@orioleslip/core'
import type { OperationKind } from '../matrix/cells.js'
import type { Told } from '../matrix/call.js'
import { CUSTOMER } from './fleet-spec.js'

/** One request of the load; `key` is the same for all its tries. */
export type LoadRequest = { operation: OperationKind, id: number, key: string }

/** How one try ended. */
export type TryResult = {
  told: Told
  /** System error of a broken connection, for example `ECONNREFUSED`. */
  errorCode?: string
  /** Whether the connection had carried a request before. */
  reusedSocket: boolean
  requestId?: string
  retryAfterS?: number
}

const METHODS: Record<OperationKind, string> = { claim: 'POST', read: 'GET', upload: 'PUT' }
const PATHS: Record<OperationKind, string> = { claim: 'claims', read: 'shifts', upload: 'sheets' }
const UPLOAD_BYTES = 1_000_000
const BODY_BYTES: Record<OperationKind, number> = { claim: 200, read: 0, upload: UPLOAD_BYTES }
const CHUNK_BYTES = 50_000
/** Pause between the chunks of an upload, in ms; an upload takes some 600 ms and spans the steps of a stop. */
const CHUNK_PAUSE_MS = 30
/** Longer than the deadline of the operations, so that the node's verdict is seen. */
const GIVE_UP_MS = 12_000

/** Sends a request once through the node at `url` and waits for its end. */
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
    req.setTimeout(GIVE_UP_MS, () => req.destroy(new Error('no answer')))
    req.on('error', broken)
    req.on('response', (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', broken)
      res.on('close', () => {
        if (!res.complete) return broken(new Error('the answer was cut short'))
        resolve({ told: toldBy(res, Buffer.concat(chunks).toString(), body), reusedSocket: req.reusedSocket, ...hintsOf(res) })
      })
    })
  })
}

function hintsOf ({ headers }: IncomingMessage): Pick<TryResult, 'requestId' | 'retryAfterS'> {
  const requestId = headers[HEADERS.requestId]
  const retryAfterS = Number(headers[HEADERS.retryAfter])
  return { ...(typeof requestId === 'string' ? { requestId } : {}), ...(Number.isFinite(retryAfterS) ? { retryAfterS } : {}) }
}

function toldBy (res: IncomingMessage, text: string, body: Buffer): Told {
  const status = res.statusCode ?? 0
  const outcome = String(res.headers[HEADERS.outcome] ?? '')
  const answer = parse(text)
  if (outcome !== 'complete') return { kind: 'refused', status, outcome, code: answer.type ?? '' }
  // The answer belongs to the request when it carries the digest of this request's body.
  const sha256 = createHash('sha256').update(body).digest('hex')
  const chained = answer.downstream?.length === 1
  return { kind: 'complete', status, whole: chained && answer.bodySha256 === sha256 && answer.bodyBytes === body.length }
}

function parse (text: string): { type?: string, bodySha256?: string, bodyBytes?: number, downstream?: unknown[] } {
  try {
    return JSON.parse(text) as object
  } catch {
    return {}
  }
}
