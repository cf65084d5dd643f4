/** Bytes per record. */
export const ROW_BYTES = 128
/** Rows per page; a page of 1 MiB is allocated at once, so growth never copies records. */
export const PAGE_ROWS = 8192
/** Ends a linked list of rows. */
export const NO_ROW = 0xffff_ffff

// Byte offsets of the fields in a row. Strings are stored as the first 16 bytes of their SHA-256, tokens as their 16 bytes.
const OFFSET = {
  id: 0,
  token: 16,
  request: 32,
  digest: 48,
  claimId: 80,
  answerPos: 88,
  keyMs: 96,
  status: 102,
  queuedMs: 104,
  deadlineMs: 110,
  answerLength: 116,
  executor: 118,
  next: 120,
  prev: 124
} as const
const BYTES_FIELDS = { id: 16, token: 16, request: 16, digest: 32, claimId: 8 } as const

type BytesField = keyof typeof BYTES_FIELDS
type TimeField = 'keyMs' | 'queuedMs' | 'deadlineMs'
type ShortField = 'status' | 'answerLength' | 'executor'
type LinkField = 'next' | 'prev'

/** Creates the pages that hold the fields of the records. Objects would take five to eight times the memory. */
export function createRecordRows () {
  let pages: Buffer[] = []
  const page = (row: number) => pages[Math.floor(row / PAGE_ROWS)]!
  const at = (row: number, field: keyof typeof OFFSET) => (row % PAGE_ROWS) * ROW_BYTES + OFFSET[field]

  return {
    /** Number of rows that exist, used or free. */
    capacity: () => pages.length * PAGE_ROWS,
    addPage: () => { pages.push(Buffer.alloc(PAGE_ROWS * ROW_BYTES)) },
    clear: (row: number) => {
      const start = at(row, 'id')
      page(row).fill(0, start, start + ROW_BYTES)
    },
    bytes: (row: number, field: BytesField) => page(row).subarray(at(row, field), at(row, field) + BYTES_FIELDS[field]),
    setBytes: (row: number, field: BytesField, value: Buffer) => { value.copy(page(row), at(row, field), 0, BYTES_FIELDS[field]) },
    equals: (row: number, field: BytesField, value: Buffer) => {
      const start = at(row, field)
      return value.compare(page(row), start, start + BYTES_FIELDS[field], 0, BYTES_FIELDS[field]) === 0
    },
    hash: (row: number) => page(row).readUInt32LE(at(row, 'id')),
    time: (row: number, field: TimeField) => page(row).readUIntLE(at(row, field), 6),
    setTime: (row: number, field: TimeField, ms: number) => { page(row).writeUIntLE(Math.floor(ms), at(row, field), 6) },
    short: (row: number, field: ShortField) => page(row).readUInt16LE(at(row, field)),
    setShort: (row: number, field: ShortField, value: number) => { page(row).writeUInt16LE(value, at(row, field)) },
    link: (row: number, field: LinkField) => page(row).readUInt32LE(at(row, field)),
    setLink: (row: number, field: LinkField, value: number) => { page(row).writeUInt32LE(value, at(row, field)) },
    answerPos: (row: number) => page(row).readDoubleLE(at(row, 'answerPos')),
    setAnswerPos: (row: number, pos: number) => { page(row).writeDoubleLE(pos, at(row, 'answerPos')) },
    snapshot: () => pages.map((buffer) => buffer.toString('base64')),
    restore: (state: string[]) => { pages = state.map((text) => Buffer.from(text, 'base64')) }
  }
}
export type RecordRows = ReturnType<typeof createRecordRows>
