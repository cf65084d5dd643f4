import test from 'ava'
import { estimateHeapBytes } from './heap-size.js'
import { isNestedDeeperThan } from './nesting.js'
import { measureJsonText } from './text-size.js'

const TEXTS = [
  '0', '-1.5e+3', '""', '"a\\"b\\\\"', '"\\u0101\\n"', 'true', 'null', '[]', '{}', '[[]]', '[{}, {} ]', '[0,1,"a",null,false]', '{"a":0}',
  '{"a b":"c:d", "e" : [ {"f":"]"} ] }', '[{"a":{"b":{"c":[1,[2,[3]]]}}}]', ' [ "x" , { "y" : [ ] } ] ', '{"":""}', '["\\u005b","{"]', '{"é":"日本"}'
]

// Guards against a measure that differs from the value that the parser builds, so that it refuses what fits or lets pass what doesn't.
test('a text is measured as the value that it yields', (t) => {
  for (const text of TEXTS) {
    const value: unknown = JSON.parse(text)
    const { levels, heapBytes } = measureJsonText(text)
    t.is(heapBytes, estimateHeapBytes(value), text)
    t.false(isNestedDeeperThan(value, levels), text)
    t.true(levels === 0 || isNestedDeeperThan(value, levels - 1), text)
  }
})

// Guards against text behind an error that lowers the sum, although a parser has built everything before the error.
test('text that is not JSON never lowers the measure of what is before it', (t) => {
  for (const text of TEXTS) {
    const { levels, heapBytes } = measureJsonText(text)
    for (const odd of [':', ':::', '"a":"b":"c":', '"a"::', ']]]', '}{', '"', '"\\', '"\\u', ',,', 'x:', '\u0000']) {
      const longer = measureJsonText(text + odd)
      // A string at the end becomes a key by the colon, which takes less.
      t.true(longer.heapBytes >= heapBytes || (text.endsWith('"') && odd.startsWith(':')), `${text}${odd}`)
      t.true(longer.levels >= levels)
    }
  }
  t.true(measureJsonText('[' + '[],'.repeat(1000) + ':'.repeat(10_000)).heapBytes >= 1000 * 48)
})

// Guards against a measure that itself fails on what it is meant to find.
test('large and deep texts are measured', (t) => {
  t.is(measureJsonText('['.repeat(2_000_000) + ']'.repeat(2_000_000)).levels, 2_000_000)
  t.is(measureJsonText('{"a":'.repeat(500_000)).levels, 500_000)
  t.true(measureJsonText(`"${'x'.repeat(4_000_000)}"`).heapBytes >= 4_000_000)
  t.is(measureJsonText('9'.repeat(4_000_000)).levels, 0)
})
