import test from 'ava'
import { createCopyScanner, type ScanResult } from './copy-scanner.js'

const COPY = 'HTTP/1.1 200 OK\r\nServer: s\r\nX-Id: known\r\nContent-Length: 2\r\n\r\nok'

/** Scans bytes, or text, in chunks; returns the last result. */
function scan (...chunks: Array<string | Buffer>): ScanResult {
  const push = createCopyScanner({ idHeader: 'x-id', isKnownId: (id) => id === 'known' })
  let result: ScanResult = 'clean'
  for (const chunk of chunks) result = push(typeof chunk === 'string' ? Buffer.from(chunk, 'latin1') : chunk)
  return result
}

// Guards against a copy that is missed because its head arrives in several chunks.
test('a copy is found wherever its bytes are split', (t) => {
  const text = `body ${COPY} body`
  for (let i = 0; i <= text.length; i++) {
    for (const j of [i, i + 1, i + 7, text.length]) t.is(scan(text.slice(0, i), text.slice(i, j), text.slice(j)), 'copy', `split at ${i} and ${j}`)
  }
  t.is(scan(...text), 'copy')
})

test('a copy is found behind text that looks like a head, also inside its lines', (t) => {
  t.is(scan(`HTTP/1.1 200 OK\r\nno header\r\n${COPY}`), 'copy')
  t.is(scan(`HTTP/1.1 200 OK\r\nA: ${COPY}`), 'copy')
  t.is(scan(`HTTP/1.HTTP/1.1 ${COPY}`), 'copy')
  t.is(scan(`HTTP/1.1 200 OK\r\n${'A: b\r\n'.repeat(4000)}${COPY}`), 'copy')
})

test('a head without the id of a known call, or with more than a head, is text', (t) => {
  t.is(scan(COPY.replace('known', 'other')), 'clean')
  t.is(scan(COPY.replace('X-Id', 'X-Other')), 'clean')
  t.is(scan(COPY.replace('HTTP/1.1 200', 'GET / HTTP/1.1')), 'clean')
  t.is(scan(`HTTP/1.1 200 OK\r\n${'A: b\r\n'.repeat(4000)}X-Id: known\r\n\r\n`), 'clean')
})

test('the end of a body that may go on as a head is told apart', (t) => {
  t.is(scan('body'), 'clean')
  t.is(scan('body H'), 'open')
  t.is(scan('body HTTP/1.1 200 OK\r\n'), 'open')
  t.is(scan('body HTTP/1.1 200 OK\r\nX-'), 'head')
  t.is(scan('body HTTP/1.1 200 OK\r\nnot a header'), 'clean')
  t.is(scan('body HTTP/1.1 200 OK\r\nA: b\r\n\r\n'), 'clean')
})

/** Time in which a body of 30 kB is scanned however its bytes are split, in ms. */
const SCAN_MS = 2000

// Guards against a node that serves nobody else while it reads the lines of a head again for each byte that follows.
test('the time for a head that arrives byte by byte grows with its length only', (t) => {
  const startMs = performance.now()
  t.is(scan(...`HTTP/1.1 200 OK\r\n${'A: b\r\n'.repeat(5000)}`), 'clean')
  const durationMs = performance.now() - startMs
  t.true(durationMs < SCAN_MS, `${durationMs} ms`)
})

/** Bytes of the bodies whose cost is compared. */
const COMPARED_BYTES = 64 * 1024
/** Lengths that are compared; the ratio of their costs is 1 if the cost of a byte does not depend on the length. */
const SHORT_BYTES = 100
const LONG_BYTES = 12_000
const MAX_COST_RATIO = 4
/** Each cost is the lowest of so many runs, which leaves out those beside which the machine was busy. */
const COST_RUNS = 7

/** Time to scan `unit` as often as it takes to make `COMPARED_BYTES`, each in a body of its own, in ms. */
function costOf (unit: string, chunkBytes: number): number {
  const bytes = Buffer.from(unit, 'latin1')
  const chunkCount = Math.ceil(bytes.length / chunkBytes)
  const chunks = Array.from({ length: chunkCount }, (_, i) => bytes.subarray(i * chunkBytes, (i + 1) * chunkBytes))
  const runs = Array.from({ length: COST_RUNS }, () => {
    const startMs = performance.now()
    for (let scanned = 0; scanned < COMPARED_BYTES; scanned += bytes.length) scan(...chunks)
    return performance.now() - startMs
  })
  return Math.min(...runs)
}

const HEAD = 'HTTP/1.1 200 OK\n'
// Each has about `length` bytes in which a reader could look further ahead, or back, the longer they are.
const HOSTILE_UNITS: ReadonlyArray<[name: string, unitOf: (length: number) => string]> = [
  ['blanks and a bare carriage return', (length) => `${HEAD}a:${' '.repeat(length)}\r.\n`],
  ['tabs and blanks', (length) => `${HEAD}a:${'\t '.repeat(length / 2)}.\n`],
  ['blanks behind the id', (length) => `${HEAD}X-Id: a${' '.repeat(length)}.\n`],
  ['a name without a colon', (length) => `${HEAD}${'a'.repeat(length)}`],
  ['status lines in one line', (length) => 'HTTP/1.1 200 '.repeat(length / 13)],
  ['starts of versions', (length) => 'HTTP/1.'.repeat(length / 7)],
  ['halves of status lines', (length) => 'HTTP/1.1 2'.repeat(length / 10)],
  ['a status line without an end', (length) => `HTTP/1.1 200 ${'a'.repeat(length)}`],
  ['short header lines', (length) => `${HEAD}${'a: b\n'.repeat(length / 5)}`]
]

// Guards against a node that serves nobody while it reads a body that a target has chosen (review/6): 8 kB kept it busy for minutes.
for (const [name, unitOf] of HOSTILE_UNITS) {
  for (const chunkBytes of [COMPARED_BYTES, 1]) {
    test.serial(`the cost of a byte does not depend on the length of ${name}, in chunks of ${chunkBytes}`, (t) => {
      const shortMs = costOf(unitOf(SHORT_BYTES), chunkBytes)
      const longMs = costOf(unitOf(LONG_BYTES), chunkBytes)
      t.true(longMs < shortMs * MAX_COST_RATIO, `${shortMs} ms, ${LONG_BYTES / SHORT_BYTES} times as long: ${longMs} ms`)
    })
  }
}
