import test from 'ava'
import { z } from 'zod'
import { boundedArray } from './bounded-schema.js'
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
