import test from 'ava'
import type { Chain } from './operations.js'
import { checkResponse } from './response-check.js'

const chain: Chain = { service: 'claims', downstream: [{ service: 'listings', downstream: [{ service: 'members', downstream: [] }] }] }

function responseOf (change: { path?: string, innerId?: string, members?: unknown[] } = {}): string {
  const members = change.members ?? [{ service: 'members', requestId: change.innerId ?? 'r1', path: '/profiles/1', downstream: [] }]
  const listings = { service: 'listings', requestId: 'r1', path: '/shifts/1', downstream: members }
  return JSON.stringify({ service: 'claims', requestId: 'r1', path: change.path ?? '/claims/5', downstream: [listings] })
}

// Guards against counting a partial response as goodput, which a service sends with status 200 when a downstream call is missing, or
// which is cut off in transit.
test('a response is complete only with the full chain', (t) => {
  t.is(checkResponse(responseOf(), chain, '/claims/5'), 'complete')
  t.is(checkResponse(responseOf({ members: [] }), chain, '/claims/5'), 'incomplete')
  t.is(checkResponse(responseOf().slice(0, -4), chain, '/claims/5'), 'incomplete')
  t.is(checkResponse('null', chain, '/claims/5'), 'incomplete')
})

// Guards against missing a mix-up of responses, where a node or a service returns the response of a concurrent request.
test('a response to another request is foreign', (t) => {
  t.is(checkResponse(responseOf({ path: '/claims/6' }), chain, '/claims/5'), 'foreign')
  t.is(checkResponse(responseOf({ innerId: 'r2' }), chain, '/claims/5'), 'foreign')
})
