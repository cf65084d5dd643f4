import { createHash } from 'node:crypto'
import { request as httpRequest, type ClientRequest } from 'node:http'
import { HEADERS } from '@orioleslip/core'
import type { OperationKind } from './cells.js'

/** How a call ended for its caller. `whole` means that the response is complete and belongs to this request. */
export type CallOutcome =
  | { kind: 'complete', status: number, whole: boolean }
  | { kind: 'refused', status: number, code: string, outcome: string }
  /** The connection broke before the response was complete. */
  | { kind: 'broken', message: string }

/** Parameters of a call; `url` is the base URL of the entry node. */
export type CallOptions = {
  url: string
  operation: OperationKind
  key: string
  /** Called when half of the body has been sent; the rest is sent after it resolves. */
  onHalfBody?: () => Promise<void>
  /** Called when the head of the response has arrived. */
  onResponse?: () => void
}

const BODY_BYTES: Record<OperationKind, number> = { claim: 200, read: 0, upload: 400_000 }
const REQUESTS: Record<OperationKind, { method: string, path: string }> = {
  claim: { method: 'POST', path: '/desk/claims' },
  read: { method: 'GET', path: '/desk/shifts/1' },
  upload: { method: 'PUT', path: '/desk/sheets/1' }
}
/** Longer than the deadline of the operations, so that the caller receives the node's refusal. */
const CALL_TIMEOUT_MS = 12_000

/** A call in flight; `disconnect` closes the caller's connection. */
export type PendingCall = { callOutcome: Promise<CallOutcome>, disconnect: () => void }

/** Sends one call over a new connection. */
export function startCall (options: CallOptions): PendingCall {
  const { operation, key } = options
  const body = Buffer.alloc(BODY_BYTES[operation], key)
  const { method, path } = REQUESTS[operation]
  const headers: Record<string, string | number> = { [HEADERS.customer]: 'branch', 'content-length': body.length }
  // Uploads and reads are repeatable and carry the key only for the run log.
  headers[HEADERS.idempotencyKey] = key
  const req = httpRequest(`${options.url}${path}`, { method, headers, agent: false })
  const callOutcome = waitForEnd(req, body, options)
  sendBody(req, body, options.onHalfBody).catch(() => req.destroy())
  return { callOutcome, disconnect: () => req.destroy(new Error('the caller closed the connection')) }
}

async function sendBody (req: ClientRequest, body: Buffer, onHalfBody: CallOptions['onHalfBody']): Promise<void> {
  if (onHalfBody === undefined) {
    req.end(body)
    return
  }
  const halfBytes = Math.floor(body.length / 2)
  await new Promise((resolve) => req.write(body.subarray(0, halfBytes), resolve))
  await onHalfBody()
  req.end(body.subarray(halfBytes))
}

function waitForEnd (req: ClientRequest, body: Buffer, { onResponse }: CallOptions): Promise<CallOutcome> {
  return new Promise((resolve) => {
    const broken = (message: string) => resolve({ kind: 'broken', message })
    req.setTimeout(CALL_TIMEOUT_MS, () => req.destroy(new Error('no response')))
    req.on('error', (err) => broken(err.message))
    req.on('response', (res) => {
      onResponse?.()
      let text = ''
      res.on('data', (chunk: Buffer) => { text += chunk.toString() })
      res.on('error', (err) => broken(err.message))
      res.on('close', () => {
        if (!res.complete) return broken('the response was cut off')
        resolve(outcomeOf(res.statusCode ?? 0, String(res.headers[HEADERS.outcome] ?? ''), text, body))
      })
    })
  })
}

function outcomeOf (status: number, outcome: string, text: string, body: Buffer): CallOutcome {
  const response = JSON.parse(text) as { type?: string, bodySha256?: string, bodyBytes?: number }
  if (outcome !== 'complete') return { kind: 'refused', status, outcome, code: response.type ?? '' }
  // A response belongs to the request if it contains the digest of the request's body.
  const sha256 = createHash('sha256').update(body).digest('hex')
  return { kind: 'complete', status, whole: response.bodySha256 === sha256 && response.bodyBytes === body.length }
}
