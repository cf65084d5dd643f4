import test from 'ava'
import { z } from 'zod'
import { listsSchema } from '../lists/schema.js'
import { boundedArray, boundedRecord } from './bounded-schema.js'
import { describeProblems, MAX_PROBLEMS } from './problems.js'

const schema = z.strictObject({ items: boundedArray(z.strictObject({ a: z.number(), b: z.string().min(2) })) })

// Guards against a check that keeps a problem for each field of each element, which takes hundreds of times the text.
test('the check of an array stops at the first problems and names their places', (t) => {
  const parsed = schema.safeParse({ items: [{ a: 1, b: 'ok' }, ...Array.from({ length: 100_000 }, () => ({}))] })
  t.true(parsed.error!.issues.length <= MAX_PROBLEMS + 1)
  t.regex(describeProblems(parsed.error!)[0]!, /^items\.1\.a: .*number/)
  t.is(describeProblems(parsed.error!).length, MAX_PROBLEMS)
})

// Guards against a bounded array that accepts, drops or changes something that an array of Zod doesn't.
test('a bounded array accepts what its elements and its size allow', (t) => {
  const items = [{ a: 1, b: 'xx' }, { a: 2, b: 'yy' }]
  t.deepEqual(schema.parse({ items }), { items })
  for (const odd of [{}, { items: {} }, { items: 'xx' }, { items: [...items, { a: 1, b: 'x' }] }, { items: [{ ...items[0], c: 1 }] }, { items: [null] }]) {
    t.false(schema.safeParse(odd).success, JSON.stringify(odd))
  }
  const sized = boundedArray(z.number(), z.array(z.unknown()).min(1).max(2))
  t.deepEqual([[], [1], [1, 2], [1, 2, 3]].map((value) => sized.safeParse(value).success), [false, true, true, false])
})

// Guards against an error that repeats a large value of its sender.
test('a description of problems is short', (t) => {
  const parsed = z.strictObject({}).safeParse({ ['x'.repeat(1_000_000)]: 1 })
  t.true(describeProblems(parsed.error!).join().length <= 300)
})

// Guards against a bounded record that accepts, drops or changes something that a record of Zod doesn't.
test('a bounded record accepts what its names and its values allow', (t) => {
  const bounded = boundedRecord(z.string().regex(/^[a-z]+$/), z.number().min(1))
  const plain = z.record(z.string().regex(/^[a-z]+$/), z.number().min(1))
  for (const value of [{}, { a: 1, b: 2 }, { constructor: 1 }, { A: 1 }, { a: 0 }, { a: 'x' }, [], null, 'x', JSON.parse('{"__proto__":1,"a":2}')]) {
    t.is(bounded.safeParse(value).success, plain.safeParse(value).success, JSON.stringify(value))
    t.deepEqual(bounded.safeParse(value).data, plain.safeParse(value).data)
  }
  t.deepEqual(describeProblems(bounded.safeParse({ a: 0, B: 1 }).error!).map((problem) => problem.slice(0, 3)), ['a: ', 'B: '])
})

// Guards against lists whose many problems are all kept: these took seconds and gigabytes of a control process.
test('the check of lists stops at the first problems', (t) => {
  const plan = { ratePerSecond: 1, burst: 1, operations: [] }
  const many = (value: unknown, prefix = 'n') => Object.fromEntries(Array.from({ length: 50_000 }, (_, i) => [`${prefix}${i}`, value]))
  const operation = { service: 's', method: 'GET', path: '/', importance: 'claim', repeatable: false }
  const odd = [
    { customers: {}, plans: many({}) },
    { customers: many(0), plans: {} },
    { customers: many('a', '-'), plans: { a: plan } },
    { customers: many('a'), plans: {} },
    { customers: {}, plans: many({ ...plan, operations: [operation] }) },
    { customers: {}, plans: { a: { ...plan, operations: Array.from({ length: 1000 }, () => ({})) } } },
    { customers: {}, plans: many({ ...plan, operations: [{}, {}, {}] }) }
  ]
  for (const lists of odd) {
    const { issues } = listsSchema.safeParse(lists).error!
    t.true(issues.length >= MAX_PROBLEMS && issues.length < 2 * MAX_PROBLEMS, `${issues.length} problems`)
  }
  t.true(listsSchema.safeParse({ customers: many('a'), plans: { a: plan } }).success)
})
