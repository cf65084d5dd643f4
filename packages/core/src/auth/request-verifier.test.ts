import test from 'ava'
import { createFakeClock } from '../time/clock.js'
import { authorizeRequest, type Principal } from './request-auth.js'
import { createRequestVerifier, MAX_CLOCK_SKEW_MS } from './request-verifier.js'

const FLEET_KEY = 'fleet-key-0123456789'
const OPERATOR_KEY = 'operator-key-0123456789'
const NOW_MS = 1_800_000_000_000
const ANA: Principal = { kind: 'operator', name: 'ana' }
const request = { method: 'POST', authority: '10.0.0.1:7000', path: '/trpc/edit', body: '{"editId":"one"}' }

function createVerifier () {
  const clock = createFakeClock(NOW_MS)
  return { clock, verify: createRequestVerifier({ fleetKey: FLEET_KEY, operators: [{ name: 'ana', key: OPERATOR_KEY }], clock }) }
}

// Guards against an edit that is modified in transit, or captured and sent to another control VM or procedure. This happens when the
// signature does not cover the method, authority, path, body or signer's name.
test('a signature is valid for one request only', (t) => {
  const { verify } = createVerifier()
  const header = () => authorizeRequest(ANA, OPERATOR_KEY, request, NOW_MS)
  t.deepEqual(verify(header(), request), ANA)
  for (const changed of [{ method: 'GET' }, { authority: '10.0.0.2:7000' }, { path: '/trpc/clusterInit' }, { body: '{"editId":"two"}' }]) {
    t.is(verify(header(), { ...request, ...changed }).kind, 'unauthenticated')
  }
  t.is(verify(header().replace('operator/ana', 'fleet'), request).kind, 'unauthenticated')
})

// Guards against a replayed operator request. This happens when a nonce is removed while a request dated ahead is still valid.
test('an operator request is accepted once', async (t) => {
  const { clock, verify } = createVerifier()
  const header = authorizeRequest(ANA, OPERATOR_KEY, request, NOW_MS + MAX_CLOCK_SKEW_MS)
  t.is(verify(header, request).kind, 'operator')
  for (let i = 0; i < 4; i++) {
    t.is(verify(header, request).kind, 'unauthenticated')
    await clock.advance(MAX_CLOCK_SKEW_MS)
  }
})

// Guards against accepting old requests, unknown operators and malformed headers, and against refusals without a reason or with a wrong
// operator name, which would mislead whoever reads the audit trail.
test('refusals name the reason and the claimed operator', (t) => {
  const { verify } = createVerifier()
  const reasonOf = (header: string | undefined) => {
    const caller = verify(header, request)
    return caller.kind === 'unauthenticated' ? `${caller.claimed}: ${caller.reason}` : 'accepted'
  }
  t.regex(reasonOf(undefined), /unknown: the request is not signed/)
  t.regex(reasonOf('Bearer abc'), /unknown: the Authorization header is malformed/)
  const eve: Principal = { kind: 'operator', name: 'eve' }
  t.regex(reasonOf(authorizeRequest(eve, OPERATOR_KEY, request, NOW_MS)), /eve: operator "eve" is not in the settings/)
  t.regex(reasonOf(authorizeRequest(ANA, 'another-key-0123456789', request, NOW_MS)), /ana: the signature does not match/)
  const early = NOW_MS - MAX_CLOCK_SKEW_MS - 1
  t.regex(reasonOf(authorizeRequest(ANA, OPERATOR_KEY, request, early)), /ana: the clocks differ by more than 30 s/)
})
