import test from 'ava'
import { estimateHeapBytes } from './heap-size.js'

// Guards against a limit that lets pass a short text which takes many times its size once it is decoded.
test('the estimate counts many small values far above their text', (t) => {
  const text = `[${Array.from({ length: 1000 }, () => '[]').join()}]`
  t.true(estimateHeapBytes(JSON.parse(text)) > 15 * text.length)
  t.true(estimateHeapBytes('x'.repeat(1000)) < 1100)
  t.true(estimateHeapBytes({ a: [1, { b: 'c' }], d: null }) > estimateHeapBytes({ a: [1], d: null }))
  t.true(estimateHeapBytes(new Uint8Array(1000)) < 100)
})
