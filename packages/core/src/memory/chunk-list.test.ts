import test from 'ava'
import fc from 'fast-check'
import { heldBytes } from '../testing/held-bytes.js'
import { createChunkList } from './chunk-list.js'

const chunk = fc.uint8Array({ minLength: 1, maxLength: 3000 })
const step = fc.oneof(chunk, fc.constantFrom('shift', 'takeAll'))

// Guards against bytes that are lost, repeated, reordered or changed after they were taken, when small chunks are copied together.
test('the bytes that are taken are the bytes that were added', (t) => {
  fc.assert(fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
    const list = createChunkList()
    const added: Uint8Array[] = []
    const taken: Uint8Array[] = []
    for (const each of steps) {
      if (each === 'shift') taken.push(list.shift() ?? new Uint8Array())
      else if (each === 'takeAll') taken.push(list.takeAll())
      else {
        list.push(each as Uint8Array)
        added.push(each as Uint8Array)
      }
      const sizeOf = (chunks: Uint8Array[]) => chunks.reduce((sum, { length }) => sum + length, 0)
      if (list.size() !== sizeOf(added) - sizeOf(taken) || list.isEmpty() !== (list.size() === 0)) return false
    }
    taken.push(list.takeAll())
    return Buffer.concat(taken).equals(Buffer.concat(added))
  }))
  t.pass()
})

test('a single chunk is not copied', (t) => {
  const list = createChunkList()
  const one = Buffer.from('one')
  list.push(one)
  t.is(list.shift(), one)
  list.push(one)
  t.is(list.takeAll(), one)
})

const SIZES = [['one byte', [1]], ['100 bytes', [100]], ['large and small ones by turns', [1024, 1]]] as const
const TOTAL_BYTES = 4 * 1024 * 1024

// Guards against a list that is limited by its bytes and takes hundreds of times as much memory, because its chunks are small.
for (const [name, sizes] of SIZES) {
  test.serial(`the memory of a list is at most six times its bytes: chunks of ${name}`, (t) => {
    const before = heldBytes()
    const list = createChunkList()
    for (let i = 0; list.size() < TOTAL_BYTES; i++) list.push(Buffer.alloc(sizes[i % sizes.length]!))
    const growth = heldBytes() - before
    t.true(growth < 6 * TOTAL_BYTES, `${growth} bytes`)
    t.true(list.size() >= TOTAL_BYTES)
  })
}
