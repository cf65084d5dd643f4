import test from 'ava'
import { createFakeClock, type NotCurrent } from '@orioleslip/core'
import { errAsync, okAsync, ResultAsync, type Result } from 'neverthrow'
import { createServices } from '../testing/api-fixture.js'
import { createRefusedChangeLog } from './refused-change-log.js'
import { createSharedConfirm } from './shared-confirm.js'
import { createStatusService, type VmReport } from './status-service.js'

const lists = { customers: {}, plans: {} }

// Guards against a control VM without quorum that holds polls as if its lists were current.
test('a poll held while the quorum is lost is answered as unconfirmed within a second', async (t) => {
  const { node, lists: log, clock: anyClock } = createServices()
  const clock = anyClock as ReturnType<typeof createFakeClock>
  const poll = node.since({ vmId: 'n1', revision: 0, waitMs: 5000 })
  await clock.advance(100)
  log.current = false
  await clock.advance(1000)
  t.deepEqual(await poll, { change: { kind: 'unchanged', revision: 0 }, confirmed: false, reason: 'no contact with a quorum' })
})

// Guards against a check of the quorum per held poll: with hundreds of polls out of step the control VMs did little else.
test('held polls share one check per second, and all of them learn of a lost quorum', async (t) => {
  const { node, lists: log, clock: anyClock } = createServices()
  const clock = anyClock as ReturnType<typeof createFakeClock>
  const { confirmCurrent } = log
  let checks = 0
  log.confirmCurrent = () => {
    checks++
    return confirmCurrent()
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
  const answers = await Promise.all(polls)
  t.true(answers.every((answer) => !answer.confirmed && answer.reason === 'no contact with a quorum'))
})

// Guards against a poll that is taken for confirmed because an earlier check succeeded.
test('an answer is confirmed anew, whatever the latest check of held polls said', async (t) => {
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

// Guards against a stop that waits for held polls, and against nodes that poll a stopping process in a loop.
test('held polls are released when the process stops', async (t) => {
  const { node, stopping, clock: anyClock } = createServices()
  const poll = node.since({ vmId: 'n1', revision: 0, waitMs: 5000 })
  await (anyClock as ReturnType<typeof createFakeClock>).advance(100)
  stopping.abort()
  t.like(await poll, { confirmed: false, reason: 'the control process is stopping' })
})

// Guards against an unconfirmed copy that an operator takes for the lists in effect.
test('get says when the copy may be old', async (t) => {
  const { operator, lists: log } = createServices()
  t.true((await operator.get()).confirmed)
  log.current = false
  t.like(await operator.get(), { confirmed: false, reason: 'no contact with a quorum' })
})

// Guards against an answer that hides whether an edit may have been accepted.
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
  const record = createRefusedChangeLog({ vmId: 'c1', lists: log, clock, log: logger })
  const attempt = { operator: 'eve', action: 'edit', unauthenticated: true, reason: 'test' } as const
  for (let i = 0; i < 1000; i++) record(attempt)
  t.is(machine.auditEntries().length, 20)
  await clock.advance(10_000)
  record(attempt)
  t.is(machine.auditEntries().at(-1)?.suppressed, 980)
})

// Guards against a confirmation that started before the call: it may miss an edit accepted in between.
test('a shared confirmation starts after the call', async (t) => {
  const pending: Array<(res: Result<void, NotCurrent>) => void> = []
  const confirm = createSharedConfirm({ confirmCurrent: () => new ResultAsync(new Promise((resolve) => pending.push(resolve))) })
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

// Guards against nodes that are counted twice, or as current on the word of a control VM they left.
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
  const answer = await status()
  t.deepEqual(answer.inEffect, [{ revision: 4, nodes: 2 }, { revision: 3, nodes: 1 }])
  t.deepEqual(answer.lagging.map(({ vmId, reason }) => [vmId, reason]), [['n2', 'silent'], ['n3', 'behind']])
  t.like(answer.controls[2], { vmId: 'c3', reachable: false, reason: 'refused' })
})
