import test from 'ava'
import fc from 'fast-check'
import { importanceOf, priorityOf } from './priority.js'
import { formatTraceParent, newSpanId, newTraceId, parseTraceParent } from './trace.js'

// Guards against a browse request with a higher priority than a claim. This happens when a trace id's hash exceeds its class's band.
test('priorities of different classes never mix', (t) => {
  fc.assert(fc.property(fc.string(), fc.string(), (a, b) => priorityOf('browse', a) < priorityOf('upload', b) && priorityOf('upload', a) < priorityOf('claim', b)), { seed: 1 })
  t.is(importanceOf(priorityOf('upload', 'x')), 'upload')
})

// Guards against a skewed hash of the trace id, which would shed the same requests of a class far more often than the others.
test('trace ids are distributed evenly within a band', (t) => {
  const counts = new Array<number>(64).fill(0)
  for (let i = 0; i < 64_000; i++) counts[priorityOf('browse', newTraceId())]!++
  t.true(Math.min(...counts) > 800 && Math.max(...counts) < 1200)
})

// Guards against trace ids taken from malformed or all-zero `traceparent` headers, which would join unrelated requests into one trace.
test('traceparent round-trips and malformed values are ignored', (t) => {
  const trace = { traceId: newTraceId(), spanId: newSpanId(), flags: '01' }
  t.deepEqual(parseTraceParent(formatTraceParent(trace)), trace)
  for (const bad of [undefined, '', '00-x-y-01', `00-${'0'.repeat(32)}-${trace.spanId}-01`, `01-${trace.traceId}-${trace.spanId}-01`]) {
    t.is(parseTraceParent(bad), undefined)
  }
})
