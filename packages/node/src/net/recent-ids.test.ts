import { heldBytes } from '@orioleslip/core/testing'
import test from 'ava'
import { createRecentIds } from './recent-ids.js'

const LIMIT = 4096
const ID_BYTES = 16 * 1024
const MAX_GROWTH_BYTES = 4 * 1024 * 1024
const idOf = (i: number) => String(i).padStart(ID_BYTES, 'x')

// Guards against memory that grows with the length of the ids that callers choose, although their number is limited.
test('long ids are recognised, and cost no more than short ones', (t) => {
  const ids = createRecentIds(LIMIT)
  const before = heldBytes()
  for (let i = 0; i <= LIMIT; i++) ids.add(idOf(i))
  const growth = heldBytes() - before
  t.true(growth < MAX_GROWTH_BYTES, `${growth} bytes`)
  t.deepEqual([ids.has(idOf(0)), ids.has(idOf(1)), ids.has(idOf(LIMIT))], [false, true, true])
})
