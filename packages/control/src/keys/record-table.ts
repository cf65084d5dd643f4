import { NO_ROW, createRecordRows, type RecordRows } from './record-rows.js'

// Room for the default key limit. Growth would rebuild the index within one command; that took 119 ms at 734,000 keys.
const FIRST_INDEX_SIZE = 2 ** 21
// Linear probing gets slow above about three quarters.
const MAX_LOAD = 0.7

/** Copy of the table in JSON; the index is rebuilt. */
export type RecordTableState = { pages: string[], free: number, oldest: number, newest: number }

/** Creates the table of records: an open-addressing index over paged rows, and a queue of the rows in order of their claims. */
export function createRecordTable (firstIndexSize = FIRST_INDEX_SIZE) {
  const rows: RecordRows = createRecordRows()
  let free = NO_ROW
  let oldest = NO_ROW
  let newest = NO_ROW
  let size = 0
  // Row + 1, or 0 for an empty place.
  let index = new Uint32Array(firstIndexSize)

  function place (table: Uint32Array, row: number) {
    const mask = table.length - 1
    let at = rows.hash(row) & mask
    while (table[at] !== 0) at = (at + 1) & mask
    table[at] = row + 1
  }

  function locate (id: Buffer): number {
    const mask = index.length - 1
    let at = id.readUInt32LE(0) & mask
    while (index[at] !== 0 && !rows.equals(index[at]! - 1, 'id', id)) at = (at + 1) & mask
    return at
  }

  function rebuildIndex (length: number) {
    index = new Uint32Array(length)
    for (let row = oldest; row !== NO_ROW; row = rows.link(row, 'next')) place(index, row)
  }

  // Closes the gap by moving later entries of the probe sequence back, which needs no tombstones.
  function vacate (gap: number) {
    const mask = index.length - 1
    for (let at = (gap + 1) & mask; index[at] !== 0; at = (at + 1) & mask) {
      const home = rows.hash(index[at]! - 1) & mask
      if (((at - home) & mask) < ((at - gap) & mask)) continue
      index[gap] = index[at]!
      gap = at
    }
    index[gap] = 0
  }

  function enqueue (row: number) {
    rows.setLink(row, 'next', NO_ROW)
    rows.setLink(row, 'prev', newest)
    if (newest === NO_ROW) oldest = row
    else rows.setLink(newest, 'next', row)
    newest = row
  }

  function dequeue (row: number) {
    const next = rows.link(row, 'next')
    const prev = rows.link(row, 'prev')
    if (prev === NO_ROW) oldest = next
    else rows.setLink(prev, 'next', next)
    if (next === NO_ROW) newest = prev
    else rows.setLink(next, 'prev', prev)
  }

  function takeRow (): number {
    if (free === NO_ROW) {
      const from = rows.capacity()
      rows.addPage()
      for (let row = rows.capacity() - 1; row >= from; row--) {
        rows.setLink(row, 'next', free)
        free = row
      }
    }
    const row = free
    free = rows.link(row, 'next')
    return row
  }

  return {
    rows,
    size: () => size,
    oldest: () => oldest === NO_ROW ? undefined : oldest,
    find: (id: Buffer): number | undefined => {
      const entry = index[locate(id)]!
      return entry === 0 ? undefined : entry - 1
    },
    /** Adds a cleared row at the end of the queue; the id must not be in the table. */
    insert: (id: Buffer): number => {
      const row = takeRow()
      rows.clear(row)
      rows.setBytes(row, 'id', id)
      enqueue(row)
      size++
      if (size > index.length * MAX_LOAD) rebuildIndex(index.length * 2)
      else place(index, row)
      return row
    },
    remove: (row: number) => {
      vacate(locate(rows.bytes(row, 'id')))
      dequeue(row)
      rows.setLink(row, 'next', free)
      free = row
      size--
    },
    /** Moves a row to the end of the queue. */
    requeue: (row: number) => {
      dequeue(row)
      enqueue(row)
    },
    snapshot: (): RecordTableState => ({ pages: rows.snapshot(), free, oldest, newest }),
    restore: (state: RecordTableState) => {
      rows.restore(state.pages);
      ({ free, oldest, newest } = state)
      size = 0
      for (let row = oldest; row !== NO_ROW; row = rows.link(row, 'next')) size++
      let length = firstIndexSize
      while (size > length * MAX_LOAD) length *= 2
      rebuildIndex(length)
    }
  }
}
export type RecordTable = ReturnType<typeof createRecordTable>
