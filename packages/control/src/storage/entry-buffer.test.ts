import test from 'ava'
import { createSeededRandom } from '@orioleslip/core'
import type { LogEntry } from './entry.js'
import { createEntryBuffer } from './entry-buffer.js'
import { encodeRecord } from './record.js'

const commandOf = (index: number, size: number): LogEntry => ({ index, term: 1 + Math.floor(index / 10), body: { kind: 'command', cmd: { index, text: 'x'.repeat(size) } } })
const configOf = (index: number): LogEntry => ({ index, term: 1, body: { kind: 'config', config: { groupId: `g${index}`, members: [], excluded: [] } } })

// Guards against memory that grows with the decoded size of the entries: a decoded command takes several times its encoded size.
test('only the newest commands are held decoded, at least one', (t) => {
  const buffer = createEntryBuffer(1000)
  const entries = [commandOf(1, 400), commandOf(2, 400), commandOf(3, 400), commandOf(4, 5000), commandOf(5, 400)]
  const heldAfterPush = entries.map((entry) => {
    buffer.push(entry, encodeRecord(entry, 1), true)
    return entries.filter(({ index, body }) => buffer.entry(index)?.body === body).map(({ index }) => index)
  })
  t.deepEqual(heldAfterPush, [[1], [1, 2], [2, 3], [4], [5]])
  t.deepEqual(entries.map(({ index }) => buffer.entry(index)), entries)
})

// Guards against entries, sizes or members that differ from what was added, after any order of additions and removals.
test('entries, sizes and the latest members are those of a plain list', (t) => {
  const random = createSeededRandom(4)
  const buffer = createEntryBuffer(500)
  let base = 1
  let list: Array<{ entry: LogEntry, bytes: number }> = []
  const bytesOf = (part: typeof list) => part.reduce((sum, { bytes }) => sum + bytes, 0)
  for (let step = 0; step < 2000; step++) {
    const next = base + list.length
    const action = random.int(12)
    if (action === 0) {
      const from = base + random.int(list.length + 2)
      buffer.truncateFrom(from)
      list = list.slice(0, from - base)
    } else if (action === 1) {
      const index = base + random.int(list.length + 1) - 1
      const limits = { entries: random.int(6), bytes: random.int(1000) }
      let start = index
      const isWithin = (from: number) => index - from < limits.entries && bytesOf(list.slice(from - base, index + 1 - base)) <= limits.bytes
      while (start > base && isWithin(start - 1)) start--
      t.is(buffer.trailingStart(index, limits), start)
      buffer.dropBefore(start)
      if (start > base) {
        list = list.slice(start - base)
        base = start
      }
    } else if (action === 2 && random.int(20) === 0) {
      base = next + random.int(5)
      list = []
      buffer.reset(base)
    } else {
      const entry = random.int(8) === 0 ? configOf(next) : commandOf(next, random.int(300))
      const record = encodeRecord(entry, next)
      buffer.push(entry, record, random.int(3) > 0)
      list.push({ entry, bytes: record.length })
    }
    t.deepEqual([buffer.firstIndex(), buffer.lastIndex()], [base, base + list.length - 1])
    const from = base + random.int(list.length + 1)
    t.is(buffer.bytesFrom(from), bytesOf(list.slice(from - base)))
    t.deepEqual(buffer.entry(from), list[from - base]?.entry)
    t.is(buffer.term(from), list[from - base]?.entry.term)
    const sent = buffer.slice(from, 400)
    t.deepEqual(sent, list.slice(from - base, from - base + sent.length).map(({ entry }) => entry))
    t.true(sent.length === 1 || bytesOf(list.slice(from - base, from - base + sent.length)) <= 400)
    const config = list.filter(({ entry }) => entry.body.kind === 'config').at(-1)?.entry
    t.deepEqual(buffer.latestConfig(), config?.body.kind === 'config' ? { index: config.index, config: config.body.config } : undefined)
  }
})
