import { formatTraceParent, HEADERS } from '@orioleslip/core'
import type { IncomingCall } from '../links/incoming-call.js'
import type { CallDeadline } from './call-deadline.js'
import type { InboundCall } from './inbound-calls.js'

/** Builds the headers of a call to the local target in orioleslip's own HTTP interface. */
export function defaultTargetHeaders (call: IncomingCall, deadline: CallDeadline, self: InboundCall): string[] {
  const headers: string[] = []
  const own = new Set<string>([HEADERS.traceparent, HEADERS.timeoutMs, HEADERS.requestId])
  const raw = call.head.headers
  for (let i = 0; i + 1 < raw.length; i += 2) if (!own.has(raw[i]!)) headers.push(raw[i]!, raw[i + 1]!)
  headers.push(HEADERS.traceparent, formatTraceParent({ traceId: self.root.traceId, spanId: self.spanId, flags: self.traceFlags }))
  headers.push(HEADERS.timeoutMs, String(Math.max(1, Math.floor(deadline.remainingMs()))))
  headers.push(HEADERS.requestId, self.root.requestId)
  return headers
}
