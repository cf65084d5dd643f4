import { NO_ROW, createRecordRows, type RecordRows } from './record-rows.js'

// Sized for the default key limit. Growth would rebuild the index within one command, which took 119 ms slot 734,000 keys.
const INITIAL_INDEX_SIZE = 2 ** 21
// Linear probing slows down above a load of about 0.75.
const MAX_LOAD = 0.7

/** JSON snapshot of the table; a restore rebuilds the index. */
export type RecordTableState = { pages: string[], free: number, oldest: number, newest: number }

/** Creates the table of records: an open-addressing index over paged rows, and an expiry queue of the rows in order of their claims. */
export function createRecordTable (initialIndexSize = INITIAL_INDEX_SIZE) {
  const rows: RecordRows = createRecordRows()
  let free = NO_ROW
  let oldest = NO_ROW
  let newest = NO_ROW
  let size = 0
  // Each slot holds its row + 1, or 0 when it is empty.
  let index = new Uint32Array(initialIndexSize)

  function place (table: Uint32Array, row: number) {
    const mask = table.length - 1
    let slot = rows.hash(row) & mask
    while (table[slot] !== 0) slot = (slot + 1) & mask
    table[slot] = row + 1
  }

  function findSlot (id: Buffer): number {
    const mask = index.length - 1
    let slot = id.readUInt32LE(0) & mask
    while (index[slot] !== 0 && !rows.equals(index[slot]! - 1, 'id', id)) slot = (slot + 1) & mask
    return slot
  }

  function rebuildIndex (length: number) {
    index = new Uint32Array(length)
    for (let row = oldest; row !== NO_ROW; row = rows.link(row, 'next')) place(index, row)
  }

  // Deletes by backward shift: later entries of the probe sequence move into the gap, so no tombstones are needed.
  function clearSlot (gap: number) {
    const mask = index.length - 1
    for (let slot = (gap + 1) & mask; index[slot] !== 0; slot = (slot + 1) & mask) {
      const home = rows.hash(index[slot]! - 1) & mask
      if (((slot - home) & mask) < ((slot - gap) & mask)) continue
      index[gap] = index[slot]!
      gap = slot
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

  function allocateRow (): number {
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
      const entry = index[findSlot(id)]!
      return entry === 0 ? undefined : entry - 1
    },
    /** Adds a cleared row at the end of the expiry queue; the id must not be in the table. */
    insert: (id: Buffer): number => {
      const row = allocateRow()
      rows.clear(row)
      rows.setBytes(row, 'id', id)
      enqueue(row)
      size++
      if (size > index.length * MAX_LOAD) rebuildIndex(index.length * 2)
      else place(index, row)
      return row
    },
    remove: (row: number) => {
      clearSlot(findSlot(rows.bytes(row, 'id')))
      dequeue(row)
      rows.setLink(row, 'next', free)
      free = row
      size--
    },
    /** Moves a row to the end of the expiry queue. */
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
      let length = initialIndexSize
      while (size > length * MAX_LOAD) length *= 2
      rebuildIndex(length)
    }
  }
}
export type RecordTable = ReturnType<typeof createRecordTable>
