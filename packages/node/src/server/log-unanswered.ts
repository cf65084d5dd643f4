import { headerValue } from '@orioleslip/core'
import type { Logger } from 'pino'
import type { UnansweredEnd } from './caller-connections.js'

/** Number of requests that one line names. */
const MAX_NAMED_REQUESTS = 8

/** Logs a caller's connection that has ended with requests that got no whole response; `idHeader` carries the id of a request. */
export function logUnanswered (log: Pick<Logger, 'info'>, { unanswered, unread, byResponse }: UnansweredEnd, idHeader: string): void {
  log.info({
    event: 'connection-ended',
    unanswered: unanswered.length,
    unread,
    requestIds: unanswered.slice(0, MAX_NAMED_REQUESTS).map((req) => headerValue(req.rawHeaders, idHeader) ?? ''),
    byResponse
  }, 'a connection of a caller has ended before each of its requests got a whole response')
}
