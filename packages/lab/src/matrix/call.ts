import { createHash } from 'node:crypto'
import { request as httpRequest, type ClientRequest } from 'node:http'
import { HEADERS } from '@orioleslip/core'
import type { OperationKind } from './cells.js'

/** What a caller was told about its call. */
export type Told =
  | { kind: 'complete', status: number, whole: boolean }
  | { kind: 'refused', status: number, code: string, outcome: string }
  /** The connection broke before a complete answer. */
  | { kind: 'broken', message: string }

export type CallOptions = {
  url: string
  operation: OperationKind
  key: string
  /** Called when half of the body is sent; the rest follows after it. */
  atHalfBody?: () => Promise<void>
  /** Called when the answer's head has arrived. */
  atAnswer?: () => void
}

const BODY_BYTES: Record<OperationKind, number> = { claim: 200, read: 0, upload: 400_000 }
const REQUESTS: Record<OperationKind, { method: string, path: string }> = {
  claim: { method: 'POST', path: '/desk/claims' },
  read: { method: 'GET', path: '/desk/shifts/1' },
  upload: { method: 'PUT', path: '/desk/sheets/1' }
}
/** Longer than the deadline of the operations, so that the node's verdict is seen. */
const GIVE_UP_MS = 12_000

/** A call in progress. */
export type PendingCall = { told: Promise<Told>, goAway: () => void }

/** Sends one call of the matrix over a connection of its own. */
export function startCall (options: CallOptions): PendingCall {
  const { operation, key } = options
  const body = Buffer.alloc(BODY_BYTES[operation], key)
  const { method, path } = REQUESTS[operation]
  const headers: Record<string, string | number> = { [HEADERS.customer]: 'branch', 'content-length': body.length }
  // Uploads and reads carry the key for the run log only; they are repeatable.
  headers[HEADERS.idempotencyKey] = key
  const req = httpRequest(`${options.url}${path}`, { method, headers, agent: false })
  const told = waitForEnd(req, body, options)
  sendBody(req, body, options.atHalfBody).catch(() => req.destroy())
  return { told, goAway: () => req.destroy(new Error('the caller went away')) }
}

async function sendBody (req: ClientRequest, body: Buffer, atHalfBody: CallOptions['atHalfBody']): Promise<void> {
  if (atHalfBody === undefined) {
    req.end(body)
    return
  }
  const middle = Math.floor(body.length / 2)
  await new Promise((resolve) => req.write(body.subarray(0, middle), resolve))
  await atHalfBody()
  req.end(body.subarray(middle))
}

function waitForEnd (req: ClientRequest, body: Buffer, { atAnswer }: CallOptions): Promise<Told> {
  return new Promise((resolve) => {
    const broken = (message: string) => resolve({ kind: 'broken', message })
    req.setTimeout(GIVE_UP_MS, () => req.destroy(new Error('no answer')))
    req.on('error', (err) => broken(err.message))
    req.on('response', (res) => {
      atAnswer?.()
      let text = ''
      res.on('data', (chunk: Buffer) => { text += chunk.toString() })
      res.on('error', (err) => broken(err.message))
      res.on('close', () => {
        if (!res.complete) return broken('the answer was cut short')
        resolve(toldBy(res.statusCode ?? 0, String(res.headers[HEADERS.outcome] ?? ''), text, body))
      })
    })
  })
}

function toldBy (status: number, outcome: string, text: string, body: Buffer): Told {
  const answer = JSON.parse(text) as { type?: string, bodySha256?: string, bodyBytes?: number }
  if (outcome !== 'complete') return { kind: 'refused', status, outcome, code: answer.type ?? '' }
  // The answer belongs to the request when it carries the digest of this request's body.
  const sha256 = createHash('sha256').update(body).digest('hex')
  return { kind: 'complete', status, whole: answer.bodySha256 === sha256 && answer.bodyBytes === body.length }
}
