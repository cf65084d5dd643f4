import test from 'ava'
import type { Told } from '../matrix/call.js'
import { judge } from './resend.js'

const tried = (told: Told, errorCode?: string) => ({ told, reusedSocket: false, ...(errorCode === undefined ? {} : { errorCode }) })

// Guards against a client that hides a lost request by sending it again.
test('only what surely did not run is sent again', (t) => {
  t.is(judge(tried({ kind: 'broken', message: '' }, 'ECONNREFUSED')), 'resend')
  t.is(judge(tried({ kind: 'refused', status: 503, code: '', outcome: 'not-run' })), 'resend')
  t.is(judge(tried({ kind: 'broken', message: '' }, 'ECONNRESET')), 'lost')
  t.is(judge(tried({ kind: 'broken', message: 'no answer' })), 'lost')
  t.is(judge(tried({ kind: 'refused', status: 502, code: '', outcome: 'unknown' })), 'lost')
  t.is(judge(tried({ kind: 'complete', status: 500, whole: true })), 'lost')
  t.is(judge(tried({ kind: 'complete', status: 200, whole: false })), 'lost')
  t.is(judge(tried({ kind: 'complete', status: 200, whole: true })), 'done')
})
