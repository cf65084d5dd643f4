import test from 'ava'
import type { AuditEntry } from '../audit/chain.js'
import { FLEET_KEY, OPERATOR_KEY, startApi } from '../testing/api-fixture.js'
import { callControl } from './client.js'

const ANA = { kind: 'operator', name: 'ana' } as const
const FLEET = { kind: 'fleet' } as const
const lists = { customers: { branch: 'basic' }, plans: { basic: { ratePerSecond: 1, burst: 1, operations: [] } } }
const edit = { editId: 'edit-0001', baseRevision: 0, lists }

const codeOf = async (call: Promise<unknown>) => (await callControl(call)).match(() => 'accepted', (err) => 'code' in err ? err.code : err.kind)

// Guards against edits by a caller with a wrong key, an unknown name or only the fleet key, and against such attempts that leave no
// audit entry because they are refused before they reach the lists log.
test('only operators edit; other attempts are refused and audited', async (t) => {
  const { connect, server, machine } = await startApi()
  t.teardown(server.stop)
  const ana = connect(ANA, OPERATOR_KEY)
  t.is(await codeOf(connect(ANA, 'wrong-key-0123456789').api.edit.mutate(edit)), 'UNAUTHORIZED')
  t.is(await codeOf(connect({ kind: 'operator', name: 'eve' }, OPERATOR_KEY).api.edit.mutate(edit)), 'UNAUTHORIZED')
  t.is(await codeOf(connect(FLEET, FLEET_KEY).api.edit.mutate(edit)), 'FORBIDDEN')
  t.is(await codeOf(connect(FLEET, FLEET_KEY).api.get.query()), 'FORBIDDEN')
  t.is(await codeOf(ana.api.lists.since.query({ vmId: 'n1', revision: 0, waitMs: 0 })), 'FORBIDDEN')
  t.is(machine.document().revision, 0)
  t.deepEqual(await ana.api.edit.mutate(edit), { kind: 'accepted', revision: 1 })
  const entries = await ana.api.audit.query({ afterSeq: 0, limit: 10 }) as AuditEntry[]
  t.deepEqual(entries.map(({ operator, editId, outcome }) => [operator, editId, outcome.kind, outcome.kind === 'refused' && outcome.unauthenticated]), [
    ['ana', 'edit-0001', 'refused', true], ['eve', 'edit-0001', 'refused', true], ['fleet', 'edit-0001', 'refused', false],
    ['ana', 'edit-0001', 'accepted', false]
  ])
})

// Guards against invalid lists that reach the nodes, and against invalid edits that leave no audit entry because schema validation
// rejects them first.
test('an edit with invalid lists is refused with their problems and audited', async (t) => {
  const { connect, server, machine } = await startApi()
  t.teardown(server.stop)
  const reply = await connect(ANA, OPERATOR_KEY).api.edit.mutate({ ...edit, lists: { ...lists, customers: { branch: 'gone' } } })
  t.deepEqual(reply, { kind: 'invalid', problems: ['customers.branch: plan "gone" is not in the plans list; add it or change the customer'] })
  t.is(machine.auditEntries()[0]?.outcome.kind, 'invalid')
  t.is(machine.document().revision, 0)
})

// Guards against an invalid edit that keeps a control process busy for seconds, and takes gigabytes there, because all of its problems are
// kept.
test('an edit with many problems is refused soon, with the first of them', async (t) => {
  const { connect, server, machine } = await startApi()
  t.teardown(server.stop)
  const empty = Array.from({ length: 1000 }, () => ({}))
  const plans = Object.fromEntries(Array.from({ length: 1000 }, (_, i) => [`p${i}`, { ...lists.plans.basic, operations: empty }]))
  const reply = await callControl(connect(ANA, OPERATOR_KEY).api.edit.mutate({ ...edit, lists: { customers: {}, plans } }))
  t.like(reply.isOk() ? reply.value : reply.error, { kind: 'invalid' })
  const { problems } = reply._unsafeUnwrap() as { problems: string[] }
  t.true(problems.length > 0 && problems.length <= 20 && problems.join().length <= 20 * 301, `${problems.length} problems`)
  t.is(machine.document().revision, 0)
})

// Guards against nodes that get an edit late: a held poll isn't woken when the edit is applied, or its reply lacks the edit.
test('a held poll gets the accepted edit', async (t) => {
  const { connect, server } = await startApi()
  t.teardown(server.stop)
  const fleet = connect(FLEET, FLEET_KEY)
  const first = await fleet.api.lists.since.query({ vmId: 'n1', revision: -1, waitMs: 5000 })
  t.like(first, { confirmed: true, change: { kind: 'full', document: { revision: 0 } } })
  const held = fleet.api.lists.since.query({ vmId: 'n1', revision: 0, waitMs: 5000 })
  await connect(ANA, OPERATOR_KEY).api.edit.mutate(edit)
  const reply = await held
  // The delta of an edit that fills the empty lists is larger than the document, so the document is sent.
  t.like(reply, { confirmed: true, change: { kind: 'full', document: { revision: 1 } } })
  t.deepEqual(reply.change.kind === 'full' && reply.change.document.lists, lists)
})

// Guards against inputs and values of the key register that the API changes, since it passes them on without a schema; and against a
// refused call that is reported as one that may have been applied.
test('key register calls pass through unchanged', async (t) => {
  const { connect, server } = await startApi()
  t.teardown(server.stop)
  const input = { customer: 'branch', key: 'k', nested: [1, { a: null }] }
  t.deepEqual((await connect(FLEET, FLEET_KEY).keyCall('claim', input))._unsafeUnwrap(), { procedure: 'claim', input })
  t.like((await connect(FLEET, 'wrong-key-0123456789').keyCall('claim', input))._unsafeUnwrapErr(), { kind: 'unavailable', outcome: 'not-applied' })
})

// Guards against a start that fails without naming the setting to change, when another process already listens on the port.
test('a port in use is reported with the setting to change', async (t) => {
  const first = await startApi()
  t.teardown(first.server.stop)
  const { startApiServer } = await import('./server.js')
  const res = await startApiServer({
    address: '127.0.0.1', port: first.server.port, authority: '', verify: () => ANA, recordRefusedChange: () => {}, log: first.log, router: {} as never
  })
  t.regex(res._unsafeUnwrapErr().message, /EADDRINUSE.*control\.apiPort/)
})
