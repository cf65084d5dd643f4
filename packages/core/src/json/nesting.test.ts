import test from 'ava'
import { isNestedDeeperThan } from './nesting.js'

const nested = (levels: number): unknown => JSON.parse('['.repeat(levels) + ']'.repeat(levels))

// Guards against a check that itself fails on what it is meant to find.
test('levels of arrays and objects are counted, however many there are', (t) => {
  t.false(isNestedDeeperThan(nested(3), 3))
  t.true(isNestedDeeperThan(nested(4), 3))
  t.true(isNestedDeeperThan({ a: [{ b: 1 }, null, 'x'] }, 2))
  t.false(isNestedDeeperThan({ a: [{ b: 1 }, null, 'x'] }, 3))
  t.false(isNestedDeeperThan(7, 0))
  t.false(isNestedDeeperThan(new Uint8Array(10), 0))
  t.true(isNestedDeeperThan(nested(1_000_000), 64))
})
