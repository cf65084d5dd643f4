import test from 'ava'
import { createChunkBatch } from './chunk-batch.js'

const nextTurn = () => new Promise((resolve) => { setImmediate(resolve) })

// Guards against bytes that overtake others because they come in a large chunk, and against small ones that are never passed on.
test('small chunks of one turn are passed on together, and none is overtaken', async (t) => {
  const passed: string[] = []
  const batch = createChunkBatch((chunk) => passed.push(Buffer.from(chunk).toString()))
  const large = 'l'.repeat(2000)
  batch.add(Buffer.from(large))
  t.deepEqual(passed, [large])
  for (const chunk of ['a', 'b', large]) batch.add(Buffer.from(chunk))
  t.is(batch.size(), 2002)
  await nextTurn()
  t.deepEqual(passed.slice(1), [`ab${large}`])
  batch.add(Buffer.from('end'))
  batch.flush()
  batch.flush()
  await nextTurn()
  t.deepEqual(passed.slice(2), ['end'])
})
