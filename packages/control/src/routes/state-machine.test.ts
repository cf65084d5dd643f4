import test from 'ava'
import type { RouteList } from '@orioleslip/core'
import type { RoutesCommand } from './commands.js'
import { createRoutesStateMachine, DELTA_LIMITS } from './state-machine.js'

const listOf = (mark: string): RouteList => ({
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, services: [], routes: [], source: { mark }
})
const replace = (baseRevision: number, revision: number, mark: string): RoutesCommand => ({ kind: 'replace', baseRevision, revision, list: listOf(mark) })

// Guards against a lost replacement when two operators start from the same revision, and against a revision that decreases because
// its sender chose it too low.
test('a replacement needs the revision in effect as its base and a higher revision', (t) => {
  const machine = createRoutesStateMachine()
  t.deepEqual(machine.apply(1, replace(0, 2, 'a')), { kind: 'accepted', revision: 2 })
  t.deepEqual(machine.apply(2, replace(0, 2, 'b')), { kind: 'conflict', revision: 2 })
  t.deepEqual(machine.apply(3, replace(2, 2, 'c')), { kind: 'outdated', revision: 2 })
  t.deepEqual(machine.apply(4, replace(2, 7, 'd')), { kind: 'accepted', revision: 7 })
  t.deepEqual(machine.document()?.list.source, { mark: 'd' })
})

// Guards against a resend that is refused although the replacement was accepted: the first reply was lost, and other replacements or
// a restore from a snapshot may have followed.
test('a resend of an accepted replacement is accepted again', (t) => {
  const machine = createRoutesStateMachine()
  machine.apply(1, replace(0, 2, 'a'))
  machine.apply(2, replace(2, 3, 'b'))
  const restored = createRoutesStateMachine()
  restored.restore(JSON.parse(JSON.stringify(machine.snapshot())))
  for (const copy of [machine, restored]) {
    t.deepEqual(copy.apply(3, replace(0, 2, 'a')), { kind: 'accepted', revision: 2 })
    t.deepEqual(copy.document()?.list.source, { mark: 'b' })
  }
})

// Guards against the operator's source text being sent to all nodes with each change, which only operators need.
test('nodes get the list without its source, and nothing when they are current', (t) => {
  const machine = createRoutesStateMachine()
  t.deepEqual(machine.since(-1), { kind: 'unchanged', revision: -1 })
  machine.apply(1, replace(0, 2, 'a'))
  const change = machine.since(-1)
  t.is(change.kind === 'full' ? change.document.list.source : 'unchanged', undefined)
  t.deepEqual(machine.since(2), { kind: 'unchanged', revision: 2 })
})

// Guards against the whole list being sent to all nodes with each change, and against deltas that don't start at the node's revision,
// for a node that lags too far, never had that revision, or polls a replica restored from a snapshot.
test('a lagging node gets the deltas, or the whole list when no kept delta starts at its revision', (t) => {
  const machine = createRoutesStateMachine()
  for (const [base, revision] of [[0, 2], [2, 3], [3, 9]] as const) machine.apply(revision, replace(base, revision, String(revision)))
  const kindsOf = (known: number) => {
    const change = machine.since(known)
    return change.kind === 'deltas' ? change.deltas.map(({ from, to }) => [from, to]) : change.kind
  }
  t.deepEqual([kindsOf(2), kindsOf(3), kindsOf(9)], [[[2, 3], [3, 9]], [[3, 9]], 'unchanged'])
  t.deepEqual([kindsOf(-1), kindsOf(1)], ['full', 'full'])
  const restored = createRoutesStateMachine()
  restored.restore(JSON.parse(JSON.stringify(machine.snapshot())))
  t.is(restored.since(3).kind, 'full')
})

// Guards against a control process that runs out of memory as it keeps a number of changes, each of which replaces every route of a large
// list, and against replies to lagging nodes that are many times as large as the list.
test('the deltas kept for lagging nodes are bounded by bytes', (t) => {
  const machine = createRoutesStateMachine()
  const largeList = (version: number): RouteList => ({
    ...listOf('large'),
    services: [{ name: 's' }],
    routes: Array.from({ length: 1000 }, (_, i) => ({
      name: `route-${i}`,
      host: 'a.example',
      prefix: `/path/${i}/`,
      repeat: 'safe',
      rank: 1,
      timeoutMs: version,
      targetLatencyMs: 1200,
      maxAttempts: 2,
      destinations: [{ service: 's', weight: 1 }]
    }))
  })
  for (let version = 1; version <= 40; version++) machine.apply(version, { kind: 'replace', baseRevision: version - 1, revision: version, list: largeList(version) })
  for (let known = 1; known < 40; known++) {
    const change = machine.since(known)
    if (change.kind === 'deltas') t.true(JSON.stringify(change.deltas).length <= DELTA_LIMITS.bytes + 100, `from revision ${known}`)
  }
  t.is(machine.since(1).kind, 'full')
  t.is(machine.since(39).kind, 'deltas')
})
