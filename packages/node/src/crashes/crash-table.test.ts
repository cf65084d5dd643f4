import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { createCrashTable } from './crash-table.js'

const POISON = 1
const createTable = () => {
  const clock = createFakeClock()
  return { clock, table: createCrashTable(clock) }
}

// Guards against a request that ends target after target: the second crash blocks it, and clears the requests that ran beside it.
test('the request that was running in two crashes is blocked, the others of both are not', (t) => {
  const { table } = createTable()
  table.record({ processId: 10, fingerprints: [POISON, 2, 3] })
  t.deepEqual([POISON, 2, 3, 4].map((each) => table.judge(each).kind), ['suspect', 'suspect', 'suspect', 'clear'])
  table.record({ processId: 11, fingerprints: [4, POISON, 5] })
  t.deepEqual([POISON, 2, 3, 4, 5].map((each) => table.judge(each).kind), ['blocked', 'clear', 'clear', 'clear', 'clear'])
})

// Guards against a sound request that is blocked because its retry met the poisonous one at a second target.
test('of two requests in both crashes none is blocked, until one of them completes', (t) => {
  const { table } = createTable()
  table.record({ processId: 10, fingerprints: [POISON, 2, 3] })
  table.record({ processId: 11, fingerprints: [POISON, 2, 4] })
  t.deepEqual([POISON, 2].map((each) => table.judge(each).kind), ['suspect', 'suspect'])
  t.true(table.clear(2))
  t.deepEqual([POISON, 2, 3, 4].map((each) => table.judge(each).kind), ['blocked', 'clear', 'clear', 'clear'])
  t.false(table.clear(2))
})

// Guards against a report that counts twice because it arrives from several nodes, or again in a table.
test('a crash counts once', (t) => {
  const { table } = createTable()
  const crash = { processId: 10, fingerprints: [POISON] }
  table.record(crash)
  table.record(crash)
  table.merge({ crashes: [crash], blocked: [] })
  t.is(table.judge(POISON).kind, 'suspect')
})

// Guards against a mended service that never gets the request again, and against a request that ends many targets anew after each block.
test('a block ends, and one further crash blocks the request again for longer', async (t) => {
  const { clock, table } = createTable()
  table.record({ processId: 10, fingerprints: [POISON] })
  table.record({ processId: 11, fingerprints: [POISON] })
  t.deepEqual(table.judge(POISON), { kind: 'blocked', leftMs: 60_000 })
  await clock.advance(60_000)
  t.is(table.judge(POISON).kind, 'suspect')
  table.record({ processId: 12, fingerprints: [7, POISON] })
  t.deepEqual(table.judge(POISON), { kind: 'blocked', leftMs: 600_000 })
  t.is(table.judge(7).kind, 'clear')
  await clock.advance(600_000)
  table.clear(POISON)
  t.is(table.judge(POISON).kind, 'clear')
  t.deepEqual(table.export(), { crashes: [], blocked: [] })
})

// Guards against suspicions that last for good after a crash with another cause.
test('a suspicion ends after a minute', async (t) => {
  const { clock, table } = createTable()
  table.record({ processId: 10, fingerprints: [2, 3] })
  await clock.advance(60_000)
  t.is(table.judge(2).kind, 'clear')
  t.deepEqual(table.export(), { crashes: [], blocked: [] })
})

// Guards against memory that grows with the number of different requests that an attacker sends.
test('the table is bounded', (t) => {
  const { table } = createTable()
  for (let i = 0; i < 1100; i++) {
    for (const processId of [2 * i, 2 * i + 1]) {
      const others = Array.from({ length: 600 }, (_, j) => 1e6 + processId * 1000 + j)
      table.record({ processId, fingerprints: [i, ...others] })
    }
  }
  const { crashes, blocked } = table.export()
  t.true(crashes.length <= 256)
  t.is(blocked.length, 1024)
  for (let processId = 5000; processId < 5100; processId++) {
    table.record({ processId, fingerprints: Array.from({ length: 512 }, (_, j) => processId * 1e6 + j) })
  }
  const suspects = table.export().crashes.flatMap(({ fingerprints }) => fingerprints)
  t.is(suspects.length, 4096)
})

// Guards against knowledge that is lost when the node that has it restarts.
test('a new node takes over crashes and blocks of another one', (t) => {
  const { table } = createTable()
  table.record({ processId: 10, fingerprints: [POISON] })
  table.record({ processId: 11, fingerprints: [POISON] })
  table.record({ processId: 12, fingerprints: [2] })
  const { table: next } = createTable()
  next.merge(table.export())
  t.deepEqual([POISON, 2, 3].map((each) => next.judge(each).kind), ['blocked', 'suspect', 'clear'])
})

// Guards against a block that becomes longer without a further crash, by the table of a node that has heard of one crash only.
test('a crash that is explained is not counted again', (t) => {
  const { table } = createTable()
  const crashes = [10, 11].map((processId) => ({ processId, fingerprints: [POISON, processId] }))
  for (const crash of crashes) table.record(crash)
  table.merge({ crashes, blocked: [] })
  t.deepEqual(table.judge(POISON), { kind: 'blocked', leftMs: 60_000 })
  t.is(table.judge(10).kind, 'clear')
})
