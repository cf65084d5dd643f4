import test from 'ava'
import { fingerprintOf, type RequestIdentity } from './fingerprint.js'

const identity = (over: Partial<RequestIdentity> = {}): RequestIdentity =>
  ({ method: 'GET', caller: 'host shop', path: '/items/7', body: { kind: 'none' }, ...over })
const bodyOf = (length: number, at?: number): RequestIdentity['body'] => {
  const bytes = new Uint8Array(length)
  if (at !== undefined) bytes[at] = 1
  return { kind: 'buffered', bytes }
}

// Guards against a sound request that is taken for another one, in particular one path that many callers ask for.
test('requests that differ in method, caller, path or body have different fingerprints', (t) => {
  const different = [
    identity(), identity({ method: 'PUT' }), identity({ caller: 'host cart' }), identity({ path: '/items/8' }),
    identity({ body: bodyOf(0) }), identity({ body: bodyOf(1) }), identity({ body: bodyOf(1, 0) }), identity({ body: bodyOf(8000, 7999) }),
    identity({ body: bodyOf(8000, 0) }), identity({ body: bodyOf(8000) }), identity({ body: bodyOf(100_000, 99_999) }),
    identity({ caller: 'host sho', path: 'p/items/7' })
  ]
  t.is(new Set(different.map(fingerprintOf)).size, different.length)
  t.is(new Set(Array.from({ length: 200_000 }, (_, i) => fingerprintOf(identity({ path: `/items/${i}` })))).size, 200_000)
})

// Guards against a fingerprint that another node does not reproduce, or that loses digits on the wire.
test('the same request has the same fingerprint, a safe integer', (t) => {
  for (const body of [bodyOf(10, 3), bodyOf(100_000, 5)]) t.is(fingerprintOf(identity({ body })), fingerprintOf(identity({ body })))
  t.true(Number.isSafeInteger(fingerprintOf(identity())) && fingerprintOf(identity()) >= 0)
})
