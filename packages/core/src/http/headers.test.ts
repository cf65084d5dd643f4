import test from 'ava'
import { endToEndHeaders, headerValue } from './headers.js'

// Guards against request smuggling and leaked connection state, which come about when hop-by-hop headers are forwarded.
test('hop-by-hop headers and those named by Connection are dropped', (t) => {
  const raw = ['Host', 'a', 'Connection', 'close, X-Private', 'X-Private', '1', 'Transfer-Encoding', 'chunked', 'Accept', '*/*', 'Set-Cookie', 'a', 'Set-Cookie', 'b']
  t.deepEqual(endToEndHeaders(raw), ['accept', '*/*', 'set-cookie', 'a', 'set-cookie', 'b'])
  t.is(headerValue(raw, 'accept'), '*/*')
  t.is(headerValue(raw, 'missing'), undefined)
})
