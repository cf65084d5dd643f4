import test from 'ava'
import { notRun, REFUSALS, unknownOutcome } from '@orioleslip/core'
import { clientRefusal } from './client-refusal.js'

// Guards against a 502 or 504 for what did not run, after which clients give up, and against a 503 for what may have run.
test('a refused request is answered 503 only if it did not run', (t) => {
  for (const code of ['deadline-exceeded', 'target-lost', 'overloaded', 'no-target'] as const) {
    const refusal = clientRefusal(notRun(code, ''))
    t.is(REFUSALS[refusal.code].status, 503)
    t.is(refusal.outcome, 'not-run')
    t.not(REFUSALS[clientRefusal(unknownOutcome(code === 'overloaded' || code === 'no-target' ? 'bad-answer' : code, '')).code].status, 503)
  }
  t.is(clientRefusal(notRun('route-unknown', '')).code, 'route-unknown')
  // A node that has just started may know no target yet; the routes say that the service exists.
  t.is(REFUSALS[clientRefusal(notRun('service-unknown', '')).code].status, 503)
})
