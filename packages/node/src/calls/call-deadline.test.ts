import { createCanceller, systemClock } from '@orioleslip/core'
import test from 'ava'
import { startDeadline } from './call-deadline.js'

test('a deadline aborts when its parent does, at once if the parent has aborted before', (t) => {
  const parent = createCanceller()
  const early = startDeadline(1000, systemClock.nowMs, { parent: parent.signal })
  parent.abort()
  const late = startDeadline(1000, systemClock.nowMs, { parent: parent.signal })
  t.deepEqual([early.signal.aborted, late.signal.aborted], [true, true])
  t.deepEqual([early.expired(), late.expired()], [false, false])
  early.done()
  late.done()
})

// Guards against a call with many child calls that holds a listener for each of them until its own end.
test('a deadline that is done is not aborted by its parent', (t) => {
  const parent = createCanceller()
  const deadline = startDeadline(1000, systemClock.nowMs, { parent: parent.signal })
  deadline.done()
  parent.abort()
  t.false(deadline.signal.aborted)
})

// Guards against a response that has begun and is cut at the end of a drain, although its process goes on for a moment.
test('the end of a drain ends work without a response only', (t) => {
  const drain = createCanceller()
  const startWork = (hasResponse: boolean) =>
    startDeadline(1000, systemClock.nowMs, { drain: { ended: drain.signal, hasResponse: () => hasResponse } })
  const before = [startWork(false), startWork(true)]
  drain.abort()
  const deadlines = [...before, startWork(false)]
  t.deepEqual(deadlines.map(({ signal, drained, expired }) => [signal.aborted, drained(), expired()]), [
    [true, true, false], [false, false, false], [true, true, false]
  ])
  for (const { done } of deadlines) done()
})
