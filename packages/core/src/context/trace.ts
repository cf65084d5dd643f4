import { randomBytes } from 'node:crypto'

/** Fields of a W3C `traceparent` header, version 00. */
export type TraceParent = { traceId: string, spanId: string, flags: string }

const TRACEPARENT_PATTERN = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/

/** Parses a `traceparent` header; undefined when it is absent or malformed, as the W3C specification requires. */
export function parseTraceParent (value: string | undefined): TraceParent | undefined {
  const match = value === undefined ? null : TRACEPARENT_PATTERN.exec(value)
  if (match === null) return undefined
  const [, traceId, spanId, flags] = match as unknown as [string, string, string, string]
  if (/^0+$/.test(traceId) || /^0+$/.test(spanId)) return undefined
  return { traceId, spanId, flags }
}

/** Formats a `traceparent` header. */
export function formatTraceParent (trace: TraceParent): string {
  return `00-${trace.traceId}-${trace.spanId}-${trace.flags}`
}

const RANDOM_POOL_BYTES = 4096
let randomPool = randomBytes(RANDOM_POOL_BYTES)
let randomPoolOffset = 0

// Random bytes are generated in batches: one system call per id would cost several microseconds on the call path.
function randomHex (bytes: number): string {
  if (randomPoolOffset + bytes > RANDOM_POOL_BYTES) {
    randomPool = randomBytes(RANDOM_POOL_BYTES)
    randomPoolOffset = 0
  }
  const hex = randomPool.toString('hex', randomPoolOffset, randomPoolOffset + bytes)
  randomPoolOffset += bytes
  return hex
}

/** New random trace id, 32 hex digits. */
export function newTraceId (): string {
  return randomHex(16)
}

/** New random span id, 16 hex digits. */
export function newSpanId (): string {
  return randomHex(8)
}
