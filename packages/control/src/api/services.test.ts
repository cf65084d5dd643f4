import test from 'ava'
import { createFakeClock, type NotCurrent } from '@orioleslip/core'
import { errAsync, okAsync, ResultAsync, type Result } from 'neverthrow'
import { createServices } from '../testing/api-fixture.js'
import { createRefusedChangeLog } from './refused-change-log.js'
import { createSharedConfirm } from './shared-confirm.js'
import { createStatusService, type VmReport } from './status-service.js'

const lists = { customers: {}, plans: {} }

// Guards against nodes that keep old lists without noticing: their control VM loses its quorum and holds their polls until they time
// out.
test('a poll held while the quorum is lost gets an unconfirmed reply within a second', async (t) => {
  const { node, lists: log, clock: anyClock } = createServices()
  const clock = anyClock as ReturnType<typeof createFakeClock>
  const poll = node.since({ vmId: 'n1', revision: 0, waitMs: 5000 })
  await clock.advance(100)
  log.current = false
  await clock.advance(1000)
  t.deepEqual(await poll, { change: { kind: 'unchanged', revision: 0 }, confirmed: false, reason: 'no contact with a quorum' })
})

// Guards against one quorum confirmation per held poll: with hundreds of polls out of step the control VMs did little else.
test('held polls share one confirmation per second, and all of them report a lost quorum', async (t) => {
  const { node, lists: log, clock: anyClock } = createServices()
  const clock = anyClock as ReturnType<typeof createFakeClock>
  const { confirmLeased } = log
  let checks = 0
  log.confirmLeased = () => {
    checks++
    return confirmLeased()
  }
  const polls: Array<ReturnType<typeof node.since>> = []
  for (let i = 0; i < 100; i++) {
    polls.push(node.since({ vmId: `n${i}`, revision: 0, waitMs: 5000 }))
    await clock.advance(9)
  }
  checks = 0
  await clock.advance(2000)
  t.is(checks, 2)
  log.current = false
  await clock.advance(1000)
  const replies = await Promise.all(polls)
  t.true(replies.every((reply) => !reply.confirmed && reply.reason === 'no contact with a quorum'))
})

// Guards against a reply that is marked as confirmed without a quorum: the latest confirmation for held polls succeeded, and the
// quorum was lost since then.
test('a reply is confirmed anew, whatever the result of the latest confirmation for held polls', async (t) => {
  const { node, lists: log, clock: anyClock } = createServices()
  const clock = anyClock as ReturnType<typeof createFakeClock>
  const held = node.since({ vmId: 'n1', revision: 0, waitMs: 5000 })
  await clock.advance(100)
  log.current = false
  t.false((await node.since({ vmId: 'n2', revision: 0, waitMs: 0 })).confirmed)
  t.false((await node.since({ vmId: 'n3', revision: -1, waitMs: 5000 })).confirmed)
  await clock.advance(1000)
  t.false((await held).confirmed)
})

// Guards against nodes that serve nothing for most of a second after a power loss of the whole fleet: their polls were refused while the
// control VMs elected a leader, so they back off at the moment at which the routes could be confirmed.
test('a process that has never confirmed its state holds polls for a short time until it can', async (t) => {
  const { node, lists: log, clock: anyClock } = createServices()
  const clock = anyClock as ReturnType<typeof createFakeClock>
  log.current = false
  let early: boolean | undefined
  node.since({ vmId: 'n1', revision: -1, waitMs: 1000 }).then((reply) => { early = reply.confirmed }, () => {})
  await clock.advance(300)
  t.is(early, undefined)
  await clock.advance(150)
  t.false(early)
  let electedMs: number | undefined
  node.since({ vmId: 'n1', revision: -1, waitMs: 1000 }).then((reply) => { if (reply.confirmed) electedMs = clock.nowMs() }, () => {})
  await clock.advance(200)
  log.current = true
  const startMs = clock.nowMs()
  for (let i = 0; i < 10; i++) await clock.advance(10)
  t.true(electedMs !== undefined && electedMs - startMs <= 60, String(electedMs))
  log.current = false
  t.false((await node.since({ vmId: 'n2', revision: -1, waitMs: 1000 })).confirmed)
})

// Guards against a stop that waits until held polls time out, and against nodes that poll the stopping process in a loop because
// their polls end with a confirmed reply.
test('held polls are released when the process stops', async (t) => {
  const { node, stopping, clock: anyClock } = createServices()
  const poll = node.since({ vmId: 'n1', revision: 0, waitMs: 5000 })
  await (anyClock as ReturnType<typeof createFakeClock>).advance(100)
  stopping.abort()
  t.like(await poll, { confirmed: false, reason: 'the control process is stopping' })
})

// Guards against an operator who takes outdated lists for the ones in effect: the control VM has lost its quorum and misses edits.
test('get reports when the lists may be outdated', async (t) => {
  const { operator, lists: log } = createServices()
  t.true((await operator.get()).confirmed)
  log.current = false
  t.like(await operator.get(), { confirmed: false, reason: 'no contact with a quorum' })
})

// Guards against an operator who can't tell whether an edit may have been accepted, because failures of the log are merged into one.
test('failures of the log reach the operator', async (t) => {
  const { operator, lists: log } = createServices()
  log.failures.push({ kind: 'outcomeUnknown', message: 'no quorum' }, { kind: 'notLeader', leader: '10.0.0.2:7000', message: 'not here' })
  t.is((await operator.edit('ana', { editId: 'edit-0001', baseRevision: 0, lists })).kind, 'outcomeUnknown')
  t.is((await operator.edit('ana', { editId: 'edit-0001', baseRevision: 0, lists })).kind, 'notLeader')
  t.deepEqual(await operator.edit('ana', { editId: 'edit-0001', baseRevision: 0, lists }), { kind: 'accepted', revision: 1 })
})

// Guards against a flood of unauthenticated requests that fills the replicated log and pushes out real entries.
test('unauthenticated attempts are recorded at a bounded rate and counted', async (t) => {
  const { lists: log, machine, clock: anyClock, log: logger } = createServices()
  const clock = anyClock as ReturnType<typeof createFakeClock>
  const recordRefusedChange = createRefusedChangeLog({ vmId: 'c1', lists: log, clock, log: logger })
  const attempt = { operator: 'eve', action: 'edit', unauthenticated: true, reason: 'test' } as const
  for (let i = 0; i < 1000; i++) recordRefusedChange(attempt)
  t.is(machine.auditEntries().length, 20)
  await clock.advance(10_000)
  recordRefusedChange(attempt)
  t.is(machine.auditEntries().at(-1)?.suppressed, 980)
})

// Guards against an outdated reply that is marked as confirmed: a caller joins a confirmation that started before its call and misses
// an edit that was accepted in between.
test('a shared confirmation starts after the call', async (t) => {
  const pending: Array<(res: Result<void, NotCurrent>) => void> = []
  const confirm = createSharedConfirm(() => new ResultAsync(new Promise((resolve) => pending.push(resolve))))
  const first = confirm()
  await Promise.resolve()
  const later = [confirm(), confirm()]
  t.is(pending.length, 1)
  pending[0]!(await okAsync<void, NotCurrent>(undefined))
  t.true((await first).isOk())
  await new Promise((resolve) => setImmediate(resolve))
  t.is(pending.length, 2)
  pending[1]!(await errAsync<void, NotCurrent>({ kind: 'notCurrent', message: 'lost' }))
  t.deepEqual((await Promise.all(later)).map((res) => res.isErr()), [true, true])
})

// Guards against nodes that are counted twice or with an old revision, because a node that switched to another control VM is still in
// the reports of the one it left.
test('status merges the latest report of each node and names lagging ones', async (t) => {
  const { confirm } = createServices()
  const report = (vmId: string, nodes: VmReport['nodes']): VmReport => ({ vmId, revision: 4, groups: [], nodes })
  const status = createStatusService({
    authority: '10.0.0.1:7000',
    confirm,
    localReport: () => report('c1', [{ vmId: 'n1', revision: 3, ageMs: 9000 }, { vmId: 'n2', revision: 4, ageMs: 20_000 }]),
    peers: [
      { vmId: 'c2', authority: '10.0.0.2:7000', report: () => okAsync(report('c2', [{ vmId: 'n1', revision: 4, ageMs: 100 }, { vmId: 'n3', revision: 3, ageMs: 50 }])) },
      { vmId: 'c3', authority: '10.0.0.3:7000', report: () => errAsync({ kind: 'unreachable', message: 'refused' }) }
    ]
  })
  const reply = await status()
  t.deepEqual(reply.inEffect, [{ revision: 4, nodes: 2 }, { revision: 3, nodes: 1 }])
  t.deepEqual(reply.lagging.map(({ vmId, reason }) => [vmId, reason]), [['n2', 'silent'], ['n3', 'behind']])
  t.like(reply.controls[2], { vmId: 'c3', reachable: false, reason: 'refused' })
})
