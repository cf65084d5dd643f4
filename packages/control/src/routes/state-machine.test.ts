import test from 'ava'
import type { RouteList } from '@orioleslip/core'
import type { RoutesCommand } from './commands.js'
import { createRoutesStateMachine } from './state-machine.js'

const listOf = (mark: string): RouteList => ({
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, services: [], routes: [], source: { mark }
})
const replace = (baseRevision: number, revision: number, mark: string): RoutesCommand => ({ kind: 'replace', baseRevision, revision, list: listOf(mark) })

// Guards against two operators who both win with the same base, and against versions that go back.
test('a replacement needs the version in effect as its base and a higher version', (t) => {
  const machine = createRoutesStateMachine()
  t.deepEqual(machine.apply(1, replace(0, 2, 'a')), { kind: 'accepted', revision: 2 })
  t.deepEqual(machine.apply(2, replace(0, 2, 'b')), { kind: 'conflict', revision: 2 })
  t.deepEqual(machine.apply(3, replace(2, 2, 'c')), { kind: 'outdated', revision: 2 })
  t.deepEqual(machine.apply(4, replace(2, 7, 'd')), { kind: 'accepted', revision: 7 })
  t.deepEqual(machine.document()?.list.source, { mark: 'd' })
})

// Guards against an accepted replacement whose answer was lost being refused when it is sent again, also after a snapshot.
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

// Guards against nodes that get the operator's text with each change.
test('nodes get the list without its source, and nothing when they are current', (t) => {
  const machine = createRoutesStateMachine()
  t.deepEqual(machine.since(-1), { kind: 'unchanged', revision: -1 })
  machine.apply(1, replace(0, 2, 'a'))
  const change = machine.since(-1)
  t.is(change.kind === 'full' ? change.document.list.source : 'unchanged', undefined)
  t.deepEqual(machine.since(2), { kind: 'unchanged', revision: 2 })
})

// Guards against nodes that get the whole list with each change, and against a delta that does not start at their version.
test('a node that lags gets the differences, one that they do not reach the whole list', (t) => {
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
