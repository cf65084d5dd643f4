import test from 'ava'
import type { Chain } from './operations.js'
import { checkAnswer } from './whole-answer.js'

const chain: Chain = { service: 'claims', downstream: [{ service: 'listings', downstream: [{ service: 'members', downstream: [] }] }] }

function answerOf (change: { path?: string, innerId?: string, members?: unknown[] } = {}): string {
  const members = change.members ?? [{ service: 'members', requestId: change.innerId ?? 'r1', path: '/profiles/1', downstream: [] }]
  const listings = { service: 'listings', requestId: 'r1', path: '/shifts/1', downstream: members }
  return JSON.stringify({ service: 'claims', requestId: 'r1', path: change.path ?? '/claims/5', downstream: [listings] })
}

// Guards against partial answers that count as goodput.
test('an answer counts only with the full chain', (t) => {
  t.is(checkAnswer(answerOf(), chain, '/claims/5'), 'whole')
  t.is(checkAnswer(answerOf({ members: [] }), chain, '/claims/5'), 'incomplete')
  t.is(checkAnswer(answerOf().slice(0, -4), chain, '/claims/5'), 'incomplete')
  t.is(checkAnswer('null', chain, '/claims/5'), 'incomplete')
})

// Guards against answers that went to the wrong caller.
test('an answer to another request is foreign', (t) => {
  t.is(checkAnswer(answerOf({ path: '/claims/6' }), chain, '/claims/5'), 'foreign')
  t.is(checkAnswer(answerOf({ innerId: 'r2' }), chain, '/claims/5'), 'foreign')
})
