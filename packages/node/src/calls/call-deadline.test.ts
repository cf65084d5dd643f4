import { createCanceller, systemClock } from '@orioleslip/core'
import test from 'ava'
import { startDeadline } from './call-deadline.js'

test('a deadline aborts when its parent does, at once if the parent has aborted before', (t) => {
  const parent = createCanceller()
  const early = startDeadline(1000, systemClock.nowMs, parent.signal)
  parent.abort()
  const late = startDeadline(1000, systemClock.nowMs, parent.signal)
  t.deepEqual([early.signal.aborted, late.signal.aborted], [true, true])
  t.deepEqual([early.expired(), late.expired()], [false, false])
  early.done()
  late.done()
})

// Guards against a call with many child calls that holds a listener for each of them until its own end.
test('a deadline that is done is not aborted by its parent', (t) => {
  const parent = createCanceller()
  const deadline = startDeadline(1000, systemClock.nowMs, parent.signal)
  deadline.done()
  parent.abort()
  t.false(deadline.signal.aborted)
})
