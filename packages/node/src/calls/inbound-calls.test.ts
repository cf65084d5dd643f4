import test from 'ava'
import { createInboundCalls } from './inbound-calls.js'

const createFields = (traceId: string) => ({
  root: { requestId: 'r', traceId, customer: 'c', entryOpKey: '', priority: 0, ledger: { host: '', port: 0 }, region: '' },
  traceFlags: '00',
  deadlineMs: 0,
  signal: new AbortController().signal
})

// Guards against a child call that is attributed to the wrong request, when several open calls share a trace or their call has ended.
test('a span is resolved to its own call, and the span of a closed call to none', (t) => {
  const calls = createInboundCalls(() => 0)
  const [a, b] = [calls.open(createFields('t1')), calls.open(createFields('t1'))]
  t.deepEqual(calls.bySpan('t1', a.spanId), { kind: 'open', call: a })
  t.is(calls.bySpan('t2', a.spanId).kind, 'unknown')
  calls.close(a)
  t.is(calls.bySpan('t1', a.spanId).kind, 'closed')
  t.deepEqual(calls.byTrace('t1'), { kind: 'open', call: b })
  calls.close(b)
  t.is(calls.byTrace('t1').kind, 'unknown')
  t.is(calls.size(), 0)
})

// Guards against a call whose report covers only its last child call, so that load and traffic further downstream go unnoticed.
test('reports of child calls add up', (t) => {
  const call = createInboundCalls(() => 0).open(createFields('t'))
  call.addChild({ pathLevel: 5, regionBytes: 100 })
  call.addChild({ pathLevel: 3, regionBytes: 50 })
  t.deepEqual([call.childLevel(), call.childRegionBytes()], [5, 150])
})

// Guards against counting the overlap of parallel child calls twice, which would make the target's own processing time negative.
test('downstream time counts overlapping child calls only once', (t) => {
  let now = 0
  const call = createInboundCalls(() => now).open(createFields('t'))
  const endFirst = call.childStarted()
  now = 10
  const endSecond = call.childStarted()
  now = 20
  endFirst()
  now = 30
  t.is(call.downstreamMs(), 30)
  endSecond()
  now = 40
  t.is(call.downstreamMs(), 30)
})
