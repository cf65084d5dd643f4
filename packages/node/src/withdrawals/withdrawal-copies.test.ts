import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { nodeMember } from '../testing/node-member.js'
import { createWithdrawalCopies, type WithdrawalCopies } from './withdrawal-copies.js'
import { createWithdrawalStore } from './withdrawal-store.js'

/** Creates the nodes of four services of six nodes each; a node that is down never replies. */
function createFleet () {
  const clock = createFakeClock()
  const members = ['a', 'b', 'c', 'd'].flatMap((service) => Array.from({ length: 6 }, (_, i) => nodeMember(`${service}-${i}`, service)))
  const down = new Set<string>()
  const nodes = new Map<string, WithdrawalCopies>()
  let requests = 0
  const start = (vmId: string) => {
    const copies = createWithdrawalCopies({
      clock,
      log: { debug: () => {}, info: () => {}, warn: () => {} },
      members: { all: () => members, self: () => members.find(({ record }) => record.vmId === vmId)!.record },
      request: ({ host }, kind, body) => {
        requests++
        return down.has(host) ? new Promise(() => {}) : Promise.resolve(nodes.get(host)!.handle(kind, body))
      }
    })
    nodes.set(vmId, copies)
    return copies
  }
  for (const { record } of members) start(record.vmId)
  return { clock, down, start, node: (vmId: string) => nodes.get(vmId)!, requests: () => requests, vmIds: [...nodes.keys()] }
}

const WITHDRAWAL = { instance: 'i-1', startedMs: 5, ageMs: 0 }

// Guards against a withdrawal that is forgotten when all nodes of a service are killed at once, because only these know of it.
test('a withdrawal outlives a kill of all nodes of its service at once', async (t) => {
  const { clock, start, node, vmIds } = createFleet()
  for (const service of ['a', 'b', 'c', 'd']) {
    await node(`${service}-0`).copy(WITHDRAWAL)
    const killed = vmIds.filter((vmId) => vmId.startsWith(service)).map(start)
    await clock.advance(1000)
    t.deepEqual((await killed[0]!.read())[0], { ...WITHDRAWAL, ageMs: 1000 })
    t.deepEqual(await killed[1]!.read(), [])
  }
})

test('a withdrawal is copied once, also while the first copy is on its way', async (t) => {
  const { node, requests } = createFleet()
  const { copy } = node('a-0')
  await Promise.all([copy({ ...WITHDRAWAL, sequence: 3 }), copy({ ...WITHDRAWAL, sequence: 4 })])
  const draining = requests()
  t.true(draining > 0)
  await copy(WITHDRAWAL)
  t.is(requests(), 2 * draining)
})

// Guards against a target that gets no ack, or a restart that takes long, because other nodes can't be reached.
test('an unreachable node delays an ack and a start by a limited time only, and a copy that nobody has is sent again', async (t) => {
  const { clock, down, node, vmIds, requests } = createFleet()
  for (const vmId of vmIds) down.add(vmId)
  const { copy, read } = node('a-0')
  for (const work of [() => copy(WITHDRAWAL), read]) {
    let isDone = false
    work().then(() => { isDone = true })
    await clock.advance(299)
    t.false(isDone)
    await clock.advance(1)
    t.true(isDone)
  }
  const before = requests()
  copy(WITHDRAWAL)
  t.true(requests() > before)
})

test('a request of another kind is left to others, and an odd one is not kept', (t) => {
  const { handle } = createFleet().node('a-0')
  t.is(handle('crash', 1), undefined)
  t.false(handle('withdrawal', { vmId: 'a-1' }))
  t.deepEqual(handle('withdrawals-of', 7), [])
})

// Guards against a memory that grows with each withdrawal, and against one that forgets that all announcements are void.
test('the store forgets by time and by count, and keeps the strictest withdrawal of a process', async (t) => {
  const clock = createFakeClock()
  const store = createWithdrawalStore(clock)
  store.add('vm', WITHDRAWAL)
  store.add('vm', { ...WITHDRAWAL, sequence: 9 })
  store.add('vm', { ...WITHDRAWAL, startedMs: 4 })
  t.deepEqual(store.of('vm'), [WITHDRAWAL])
  for (let i = 0; i < 6; i++) store.add('vm', { ...WITHDRAWAL, instance: `other-${i}` })
  t.deepEqual(store.of('vm').map(({ instance }) => instance), ['other-2', 'other-3', 'other-4', 'other-5'])
  await clock.advance(59_999)
  t.is(store.of('vm').length, 4)
  await clock.advance(1)
  t.deepEqual(store.of('vm'), [])
  for (let i = 0; i <= 1000; i++) store.add(`vm-${i}`, WITHDRAWAL)
  t.deepEqual(store.of('vm-0'), [])
  t.is(store.of('vm-1').length, 1)
})
