import { createCanceller, notRun, unknownOutcome } from '@orioleslip/core'
import test from 'ava'
import { refusalOfCut, verdictOfReply } from './attempt-result.js'
import { NO_REPORT, type ForwardRequest } from './forwarder.js'

const expiredRequest = (): ForwardRequest => {
  const { signal, abort } = createCanceller()
  abort()
  return { deadline: { signal, expired: () => true } } as unknown as ForwardRequest
}
const refused = (refusal: ReturnType<typeof notRun>) => ({ kind: 'refused' as const, refusal, report: NO_REPORT })

// Guards against a target that counts as sound or faulty by chance: the timer of either node may end the call first.
test('a target that holds a call until its deadline counts as faulty, whichever node ends the call', (t) => {
  const req = expiredRequest()
  t.is(verdictOfReply(req, { kind: 'cancelled' }), 'faulty')
  t.is(verdictOfReply(req, refused(unknownOutcome('deadline-exceeded', 'no response'))), 'faulty')
  t.is(verdictOfReply(req, refused(notRun('deadline-exceeded', 'queued too long'))), 'sound')
  t.is(verdictOfReply(req, refused(notRun('overloaded', 'full'))), 'sound')
})

test('a request whose response was cut off before its first byte has an unknown outcome', (t) => {
  const expired = { expired: () => true, drained: () => false }
  t.like(refusalOfCut({ kind: 'cancelled' }, expired), { code: 'deadline-exceeded', outcome: 'unknown' })
  t.like(refusalOfCut({ kind: 'lost', message: 'gone' }, expired), { code: 'target-lost', outcome: 'unknown' })
  t.like(refusalOfCut({ kind: 'aborted', refusal: notRun('bad-answer', 'cut'), report: NO_REPORT }, expired), { code: 'bad-answer', outcome: 'unknown' })
})

// Guards against a request that is open when its node stops and is told that its caller has left, or that it has not run.
test('a request that the stop of its node ends has an unknown outcome', (t) => {
  const refusal = refusalOfCut({ kind: 'cancelled' }, { expired: () => false, drained: () => true })
  t.deepEqual(refusal, unknownOutcome('target-lost', 'this node stopped before the target had responded'))
})
