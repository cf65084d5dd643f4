import { newSpanId, type CancelSignal, type RequestContext } from '@orioleslip/core'
import type { CallReport } from '../links/messages.js'
import { createRecentIds } from '../net/recent-ids.js'

/** A call that the local target is executing; calls that the target makes meanwhile are its child calls. */
export type InboundCall = {
  root: RequestContext
  /** Span that the target sees as its parent. */
  spanId: string
  traceFlags: string
  /** Monotonic time at which the head of the call was read, in ms. */
  openedMs: number
  /** Monotonic time of the deadline, in ms. */
  deadlineMs: number
  /** Aborts when the caller disconnects or the deadline passes. */
  signal: CancelSignal
  /** Adds the report of a child call. */
  addChild: (report: Pick<CallReport, 'pathLevel' | 'regionBytes'>) => void
  /** Records that a child call was refused. */
  childRefused: () => void
  anyChildRefused: () => boolean
  /** Records the start of a child call; the returned function records its end. */
  childStarted: () => () => void
  /** Time during which at least one child call was open, in ms. */
  downstreamMs: () => number
  childLevel: () => number
  childRegionBytes: () => number
}

/** Result of the lookup of a `traceparent` that the target sent. */
export type InboundLookup = { kind: 'open', call: InboundCall } | { kind: 'closed' } | { kind: 'unknown' }

export type InboundCalls = {
  open: (call: Pick<InboundCall, 'root' | 'traceFlags' | 'deadlineMs' | 'signal'>) => InboundCall
  close: (call: InboundCall) => void
  bySpan: (traceId: string, spanId: string) => InboundLookup
  /** Returns the newest open call of the trace, for targets whose tracing library creates spans of its own. */
  byTrace: (traceId: string) => InboundLookup
  size: () => number
}

/** Number of closed spans kept, so that late calls of a target are recognised and refused. */
const CLOSED_SPANS_LIMIT = 4096

/** Creates the registry of calls in flight at the local target. */
export function createInboundCalls (nowMs: () => number): InboundCalls {
  const bySpan = new Map<string, InboundCall>()
  const byTrace = new Map<string, InboundCall[]>()
  const closed = createRecentIds(CLOSED_SPANS_LIMIT)

  const removeFromTrace = (call: InboundCall) => {
    const siblings = byTrace.get(call.root.traceId)?.filter((other) => other !== call) ?? []
    if (siblings.length === 0) byTrace.delete(call.root.traceId)
    else byTrace.set(call.root.traceId, siblings)
  }
  return {
    open: (fields) => {
      let level = 0
      let regionBytes = 0
      let refusedChildren = 0
      let openChildren = 0
      let childrenSinceMs = 0
      let waitedMs = 0
      const call: InboundCall = {
        ...fields,
        spanId: newSpanId(),
        openedMs: nowMs(),
        addChild: (report) => {
          level = Math.max(level, report.pathLevel)
          regionBytes += report.regionBytes
        },
        childRefused: () => { refusedChildren++ },
        anyChildRefused: () => refusedChildren > 0,
        childStarted: () => {
          if (openChildren++ === 0) childrenSinceMs = nowMs()
          return () => { if (--openChildren === 0) waitedMs += nowMs() - childrenSinceMs }
        },
        downstreamMs: () => waitedMs + (openChildren > 0 ? nowMs() - childrenSinceMs : 0),
        childLevel: () => level,
        childRegionBytes: () => regionBytes
      }
      bySpan.set(call.spanId, call)
      const siblings = byTrace.get(call.root.traceId)
      if (siblings === undefined) byTrace.set(call.root.traceId, [call])
      else siblings.push(call)
      return call
    },
    close: (call) => {
      if (!bySpan.delete(call.spanId)) return
      removeFromTrace(call)
      closed.add(call.spanId)
    },
    bySpan: (traceId, spanId) => {
      const call = bySpan.get(spanId)
      if (call !== undefined && call.root.traceId === traceId) return { kind: 'open', call }
      return closed.has(spanId) ? { kind: 'closed' } : { kind: 'unknown' }
    },
    byTrace: (traceId) => {
      const call = byTrace.get(traceId)?.at(-1)
      return call === undefined ? { kind: 'unknown' } : { kind: 'open', call }
    },
    size: () => bySpan.size
  }
}
