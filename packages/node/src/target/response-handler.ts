import { endToEndHeaders, headerValue, type Clock } from '@orioleslip/core'
import type { Dispatcher } from 'undici'
import { createByteQueue } from '../links/byte-queue.js'
import type { CopyDetection } from './copy-detection.js'
import type { CopyScanner, ScanResult } from './copy-scanner.js'
import { COPY_MESSAGE, type ResponseEndCheck } from './response-end.js'
import { framingOf, type Framing } from './response-framing.js'
import type { ResponseTransferState, TargetReply, TargetRequest } from './target-client.js'
import { VERSION_START } from './status-line-matcher.js'
import type { ConnectedDispatchOptions, TargetConnection } from './target-connections.js'

/** Dependencies of `createResponseHandler`. */
export type ResponseHandlerOptions = {
  acceptUnframed: boolean
  /** Absent where responses do not carry the id of their call. */
  copies: CopyDetection | undefined
  checkEnd: ResponseEndCheck
  clock: Clock
  /** Longest time in which this process did not run, among those that ended after `sinceMs` of the clock, in ms. */
  longestGapMs: (sinceMs: number) => number
}

/** Receives the connection of a call, see `ConnectedDispatchOptions`. */
export type OnDispatch = ConnectedDispatchOptions['onDispatch']

/** Number of response bytes buffered for a slow reader before the target's socket is paused. */
const RESPONSE_BUFFER_BYTES = 256 * 1024

const UNFRAMED_MESSAGE = 'the response has neither Content-Length nor chunked encoding, so that its end can\'t be checked'
/** Highest status of HTTP; undici itself rejects those below 100. */
const MAX_STATUS = 599

/** Creates the undici handler of one call; `resolve` gets its first result. */
export function createResponseHandler (
  req: TargetRequest, resolve: (reply: TargetReply) => void, options: ResponseHandlerOptions
): Dispatcher.DispatchHandler & { onDispatch: OnDispatch } {
  const { acceptUnframed, copies, checkEnd, clock, longestGapMs } = options
  let connectionOf: (() => TargetConnection) | undefined
  let connection: TargetConnection | undefined
  let sent = false
  let framed = true
  let closes = false
  let bodyBytes = 0
  let scan: CopyScanner | undefined
  let scanned: ScanResult = 'clean'
  let controller: Dispatcher.DispatchController | undefined
  let sentMs = 0
  let pausedSinceMs: number | undefined
  let longestPauseMs = 0
  let isClosing = false
  const resume = () => {
    if (pausedSinceMs === undefined) return
    longestPauseMs = Math.max(longestPauseMs, clock.nowMs() - pausedSinceMs)
    pausedSinceMs = undefined
    controller?.resume()
  }
  const body = createByteQueue(() => { if (body.size() < RESPONSE_BUFFER_BYTES / 2) resume() })
  const abort = () => controller?.abort(new Error('the call was cancelled'))
  const fail = (message: string) => {
    req.signal.removeEventListener('abort', abort)
    resolve({ kind: 'failed', sent, message })
    body.fail(new Error(message))
  }
  const complete = () => {
    req.signal.removeEventListener('abort', abort)
    body.end()
  }
  const settle = (doubt: string | undefined) => doubt === undefined ? complete() : fail(doubt)
  const unreadMs = () => {
    const pauseMs = pausedSinceMs === undefined ? 0 : clock.nowMs() - pausedSinceMs
    return Math.max(longestPauseMs, pauseMs, longestGapMs(sentMs))
  }
  const transfer = (): ResponseTransferState => ({
    bodyBytes, connectionCalls: connection?.calls ?? 0, connectionEnd: connection?.end ?? 'open', unreadMs: unreadMs()
  })
  return {
    onDispatch: (getConnection) => { connectionOf = getConnection },
    onRequestStart: (requestController) => {
      controller = requestController
      connection = connectionOf?.()
      if (connection !== undefined) {
        connection.calls++
        connection.responseStart = ''
        connection.onClosing = () => {
          isClosing = true
          resume()
        }
      }
      copies?.callSent(req.headers)
      // A request must not be sent that was cancelled, or whose deadline passed, while it waited for a connection.
      if (req.signal.aborted || isLate(req)) return abort()
      sent = true
      sentMs = clock.nowMs()
      req.signal.addEventListener('abort', abort, { once: true })
    },
    onResponseStart: (_controller, status, _headers) => {
      if (status < 200) return
      const raw = toStrings(_controller.rawHeaders)
      if (req.isForeign?.(raw) === true) {
        resolve({ kind: 'foreign' })
        return abort()
      }
      const framing = framingOf(req.method, status, raw)
      framed = framing === 'framed'
      closes = !framed || headerValue(raw, 'connection')?.toLowerCase() === 'close'
      scan = copies?.createScanner()
      const problem = headProblem(connection, status, framing) ?? (framed || acceptUnframed ? undefined : UNFRAMED_MESSAGE)
      if (problem !== undefined) {
        fail(problem)
        return abort()
      }
      resolve({ kind: 'head', status, headers: endToEndHeaders(raw), unframed: !framed, body, abort, transfer })
    },
    onResponseData: (_controller, chunk) => {
      bodyBytes += chunk.length
      scanned = scan?.(chunk) ?? 'clean'
      if (scanned === 'copy') {
        fail(COPY_MESSAGE)
        return abort()
      }
      body.push(chunk)
      if (isClosing || body.size() < RESPONSE_BUFFER_BYTES) return
      pausedSinceMs ??= clock.nowMs()
      controller?.pause()
    },
    onResponseEnd: () => {
      const doubt = checkEnd({ framed, closes, connection, scanned, unreadMs: unreadMs() })
      if (doubt instanceof Promise) doubt.then(settle, (err: unknown) => fail(String(err)))
      else settle(doubt)
    },
    onResponseError: (_controller, err) => fail(err.message)
  }
}

/** Tells by the clock whether the deadline of a request has passed; the timer that aborts it may run later. */
function isLate ({ remainingMs }: TargetRequest): boolean {
  return remainingMs !== undefined && remainingMs() <= 0
}

/** Returns why a head is not one of a response in HTTP/1.0 or 1.1 whose body can be read. */
function headProblem (connection: TargetConnection | undefined, status: number, framing: Framing): string | undefined {
  if (connection !== undefined && connection.responseStart !== VERSION_START) {
    return `the response starts with "${connection.responseStart}" in place of "${VERSION_START}"`
  }
  if (status > MAX_STATUS) return `the response has the status ${status}, which is none of HTTP`
  if (framing === 'unsupported') return 'the response has a transfer coding other than "chunked", so that its body can\'t be read'
  return undefined
}

function toStrings (raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return []
  return raw.map((item) => typeof item === 'string' ? item : item.toString('latin1'))
}
