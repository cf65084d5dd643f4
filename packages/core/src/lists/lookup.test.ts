import test from 'ava'
import { createListsIndex } from './lookup.js'
import { listsSchema } from './schema.js'

const operation = (method: string, path: string, extra: object = {}) =>
  ({ service: 'claims', method, path, importance: 'claim', repeatable: true, ...extra })

const listsWith = (operations: object[]) => listsSchema.parse({
  customers: { branch: 'basic' },
  plans: { basic: { ratePerSecond: 5, burst: 10, operations } }
})

// Guards against a generic pattern hiding a non-repeatable operation with a more specific path, so that the call would be executed twice.
// This happens when patterns are matched in the order of the list.
test('the most specific pattern wins', (t) => {
  const lists = listsWith([operation('POST', '/*'), operation('POST', '/shifts/:id/claim', { repeatable: false }), operation('POST', '/shifts/7/claim')])
  const index = createListsIndex({ revision: 1, lists })
  const matchedPath = (path: string) => {
    const res = index.lookup('branch', 'claims', 'POST', path)
    return res.kind === 'listed' ? res.op.path : res.kind
  }
  t.is(matchedPath('/shifts/7/claim'), '/shifts/7/claim')
  t.is(matchedPath('/shifts/8/claim'), '/shifts/:id/claim')
  t.is(matchedPath('/other/path/x'), '/*')
})

// Guards against forwarding an unlisted write. This happens when the check of the method is missing for calls that no pattern matches.
test('unlisted calls are allowed only with safe methods', (t) => {
  const index = createListsIndex({ revision: 1, lists: listsWith([]) })
  t.is(index.lookup('branch', 'claims', 'GET', '/x').kind, 'unlistedSafe')
  t.is(index.lookup('branch', 'claims', 'POST', '/x').kind, 'unlistedUnsafe')
  t.is(index.lookup('nobody', 'claims', 'GET', '/x').kind, 'customerUnknown')
})

// Guards against accepting lists that nodes can't apply: a customer whose plan does not exist, or an operation with ambiguous rules.
test('lists with references to missing plans, duplicate operations or non-repeatable reads are rejected', (t) => {
  t.false(listsSchema.safeParse({ customers: { a: 'gone' }, plans: {} }).success)
  // A property that every object inherits is not a plan.
  t.false(listsSchema.safeParse({ customers: { a: 'constructor' }, plans: {} }).success)
  t.throws(() => listsWith([operation('POST', '/a'), operation('POST', '/a')]), { message: /listed twice/ })
  t.throws(() => listsWith([operation('GET', '/a', { repeatable: false })]), { message: /always repeatable/ })
  t.throws(() => listsWith([operation('GET', '/a', { colour: 'red' })]), { message: /colour/ })
})
