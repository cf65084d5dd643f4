import test from 'ava'
import { notRun, REFUSALS, unknownOutcome } from '@orioleslip/core'
import { clientRefusal } from './client-refusal.js'

// Guards against a 502 or 504 for a request that did not run, after which clients do not resend it, and against a 503 for one that may
// have run, after which they would.
test('a refused request gets status 503 only if it did not run', (t) => {
  for (const code of ['deadline-exceeded', 'target-lost', 'overloaded', 'no-target'] as const) {
    const refusal = clientRefusal(notRun(code, ''))
    t.is(REFUSALS[refusal.code].status, 503)
    t.is(refusal.outcome, 'not-run')
    t.not(REFUSALS[clientRefusal(unknownOutcome(code === 'overloaded' || code === 'no-target' ? 'bad-answer' : code, '')).code].status, 503)
  }
  t.is(clientRefusal(notRun('route-unknown', '')).code, 'route-unknown')
  // A node that has just started may not have discovered a target yet, although the routes define the service.
  t.is(REFUSALS[clientRefusal(notRun('service-unknown', '')).code].status, 503)
})
