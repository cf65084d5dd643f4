import test from 'ava'
import fc from 'fast-check'
import { applyDelta, EMPTY_DOCUMENT, type Lists, type ListsDocument } from '@orioleslip/core'
import type { EditCommand, ListsReply } from './commands.js'
import { createListsStateMachine, MAX_EDIT_RESULTS, type ListsStateMachine } from './state-machine.js'

const listsOf = (customers: string[]): Lists => ({
  customers: Object.fromEntries(customers.map((name) => [name, 'basic'])),
  plans: { basic: { ratePerSecond: 1, burst: 1, operations: [] } }
})

const edit = (editId: string, baseRevision: number, customers: string[] = [editId], operator = 'ana'): EditCommand =>
  ({ kind: 'edit', editId, operator, vmId: 'c1', wallMs: 1000, baseRevision, content: { kind: 'lists', lists: listsOf(customers) } })

function createMachine (edits: EditCommand[] = []) {
  const machine = createListsStateMachine()
  edits.forEach((cmd, i) => machine.apply(i + 1, cmd))
  return machine
}

/** A second state machine, restored from a snapshot of the first. */
const restoreCopy = (machine: ListsStateMachine) => {
  const next = createListsStateMachine()
  next.restore(JSON.parse(JSON.stringify(machine.snapshot())) as ReturnType<ListsStateMachine['snapshot']>)
  return next
}

// Guards against a lost edit: two operators edit the same revision, and the second edit silently replaces the first.
test('of two edits from one revision the first wins and the second is a conflict', (t) => {
  const machine = createMachine()
  t.deepEqual(machine.apply(1, edit('first', 0)), { kind: 'accepted', revision: 1 })
  t.deepEqual(machine.apply(2, edit('second', 0)), { kind: 'conflict', revision: 1 })
  t.deepEqual(Object.keys(machine.document().lists.customers), ['first'])
})

// Guards against a resend, sent because the first reply was lost, that is applied twice or gets another reply; also after a restore
// from a snapshot.
test('a resend gets the first reply, whatever happened in between', (t) => {
  const before = createMachine([edit('one', 0), edit('two', 1), edit('late', 0)])
  for (const machine of [before, restoreCopy(before)]) {
    t.deepEqual(machine.apply(9, edit('one', 0)), { kind: 'accepted', revision: 1 })
    t.deepEqual(machine.apply(10, edit('late', 0)), { kind: 'conflict', revision: 2 })
    t.is(machine.document().revision, 2)
    t.is(machine.auditHead().seq, 3)
  }
})

// Guards against an edit that is dropped but reported as accepted, because it reuses the id of another accepted edit.
test('an edit id with other content, base revision or operator is refused', (t) => {
  const machine = createMachine([edit('one', 0)])
  for (const other of [edit('one', 0, ['x']), edit('one', 1), edit('one', 0, ['one'], 'ben')]) {
    t.is((machine.apply(2, other) as ListsReply).kind, 'editIdReused')
  }
  t.is(machine.document().revision, 1)
  t.is(machine.auditHead().seq, 4)
})

// Guards against an edit that is applied twice: it is resent after MAX_EDIT_RESULTS other edits have evicted its result.
test('a resend after the result of the edit was evicted is a conflict', (t) => {
  const machine = createMachine([edit('first', 0)])
  for (let i = 0; i < MAX_EDIT_RESULTS; i++) machine.apply(i + 2, edit(`edit-${i}`, i + 1))
  t.is(machine.snapshot().results.length, MAX_EDIT_RESULTS)
  t.deepEqual(machine.apply(9999, edit('first', 0)), { kind: 'conflict', revision: MAX_EDIT_RESULTS + 1 })
})

// Guards against an edit that names a future base revision and takes effect unexpectedly once that revision is reached.
test('a base revision that does not exist yet is invalid', (t) => {
  const machine = createMachine()
  t.is((machine.apply(1, edit('ahead', 3)) as ListsReply).kind, 'invalid')
  t.is(machine.document().revision, 0)
})

/** The document of a node after it applies the change from its revision. */
function catchUp (machine: ListsStateMachine, doc: ListsDocument): ListsDocument | undefined {
  const change = machine.since(doc.revision)
  switch (change.kind) {
    case 'unchanged': return doc
    case 'full': return change.document
    case 'deltas': return change.deltas.reduce<ListsDocument | undefined>((next, delta) => next && applyDelta(next, delta), doc)
  }
}

// Guards against nodes whose lists differ from those of the control VMs after a change: a delta was dropped, or computed or applied
// wrongly, for example for names that objects inherit, such as "constructor".
test('deltas and full documents lead from every earlier revision to the one in effect', (t) => {
  const names = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'constructor', 'toString', 'd-1'), { maxLength: 5 })
  fc.assert(fc.property(fc.array(names, { minLength: 1, maxLength: 12 }), fc.nat(), (edits, restartAt) => {
    let machine = createMachine()
    const documents: ListsDocument[] = [EMPTY_DOCUMENT]
    edits.forEach((customers, i) => {
      machine.apply(i + 1, edit(`edit-${i}`, i, customers))
      documents.push(machine.document())
      if (i === restartAt % edits.length) machine = restoreCopy(machine)
    })
    return documents.every((doc) => JSON.stringify(catchUp(machine, doc)?.lists.customers) !== undefined &&
      JSON.stringify(Object.entries(catchUp(machine, doc)!.lists.customers).sort()) ===
      JSON.stringify(Object.entries(machine.document().lists.customers).sort()))
  }), { seed: 7, numRuns: 200 })
  t.pass()
})

// Guards against replicas that diverge because one was restored from a snapshot that lacks part of the state.
test('a replica restored in the middle ends with the same snapshot', (t) => {
  const commands = Array.from({ length: 60 }, (_, i) => edit(`edit-${i % 50}`, i % 7 === 0 ? 0 : i))
  const direct = createMachine(commands)
  let restored = createMachine(commands.slice(0, 30))
  restored = restoreCopy(restored)
  commands.slice(30).forEach((cmd, i) => restored.apply(31 + i, cmd))
  t.deepEqual(restored.snapshot(), direct.snapshot())
})
