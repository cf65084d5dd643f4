import type { Clock } from '@orioleslip/core'
import type { ScanResult } from './copy-scanner.js'
import type { TargetConnection } from './target-connections.js'

/** A response whose parser has reached the end of the message. */
export type EndedResponse = {
  /** False if the response has neither a length nor chunks, and ends with its connection. */
  framed: boolean
  /** True if the connection ends with the response. */
  closes: boolean
  connection: TargetConnection | undefined
  /** What the body contains, see `createCopyScanner`. */
  scanned: ScanResult
  /** Longest time in which this node did not read the response, in ms. */
  unreadMs: number
}

/** Returns why the body may not be the whole body of the target; undefined if nothing shows that. */
export type ResponseEndCheck = (response: EndedResponse) => string | undefined | Promise<string | undefined>

/** Dependencies of `createResponseEndCheck`. */
export type ResponseEndCheckOptions = {
  clock: Clock
  /** False if the target process has ended. */
  isTargetRunning: () => Promise<boolean>
}

/** Time in which the rest of a copied response arrives whose start has filled the end of a body, in ms. */
const COPY_REST_MS = 20
/** Time after which a target may have closed a connection because nobody read its bytes, in ms; targets wait for some seconds. */
const UNREAD_MS = 1000

/** Message for a body that contains a copy of another response. */
export const COPY_MESSAGE = 'the body contains the start of another response'
const RESET_MESSAGE = 'the connection was reset before the end of a response without Content-Length or chunked encoding'
const UNREAD_MESSAGE = 'a response without Content-Length or chunked encoding was not read for a time in which the target may have cut it off'
const ENDED_MESSAGE = 'the target process has ended with a response without Content-Length or chunked encoding'

/** Creates the check of responses that have ended; a connection that ends in order does not show that the response on it was whole. */
export function createResponseEndCheck ({ clock, isTargetRunning }: ResponseEndCheckOptions): ResponseEndCheck {
  const checkUnframed = async () => await isTargetRunning() ? undefined : ENDED_MESSAGE

  /** undici closes the connection when the rest of a copy follows. */
  const checkRest = async ({ connection }: EndedResponse) => {
    await clock.sleep(COPY_REST_MS)
    return connection?.end === 'reset' ? COPY_MESSAGE : undefined
  }

  return (response) => {
    const { framed, closes, connection, scanned, unreadMs } = response
    if (!framed && connection?.end === 'reset') return RESET_MESSAGE
    if (!framed && unreadMs >= UNREAD_MS) return UNREAD_MESSAGE
    if (closes && scanned === 'head') return COPY_MESSAGE
    if (!framed) return checkUnframed()
    return closes || scanned === 'clean' ? undefined : checkRest(response)
  }
}
