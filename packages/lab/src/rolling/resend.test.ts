import test from 'ava'
import type { CallOutcome } from '../matrix/call.js'
import { classifyTry } from './resend.js'

const tried = (told: CallOutcome, errorCode?: string) => ({ told, reusedSocket: false, ...(errorCode === undefined ? {} : { errorCode }) })

// Guards against resending a request that may have run, for example after a connection reset: the resend would succeed and the lost
// request would not be counted.
test('only requests that certainly did not run are resent', (t) => {
  t.is(classifyTry(tried({ kind: 'broken', message: '' }, 'ECONNREFUSED')), 'resend')
  t.is(classifyTry(tried({ kind: 'refused', status: 503, code: '', outcome: 'not-run' })), 'resend')
  t.is(classifyTry(tried({ kind: 'broken', message: '' }, 'ECONNRESET')), 'lost')
  t.is(classifyTry(tried({ kind: 'broken', message: 'no response' })), 'lost')
  t.is(classifyTry(tried({ kind: 'refused', status: 502, code: '', outcome: 'unknown' })), 'lost')
  t.is(classifyTry(tried({ kind: 'complete', status: 500, whole: true })), 'lost')
  t.is(classifyTry(tried({ kind: 'complete', status: 200, whole: false })), 'lost')
  t.is(classifyTry(tried({ kind: 'complete', status: 200, whole: true })), 'done')
})
