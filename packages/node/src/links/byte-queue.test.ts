import test from 'ava'
import { createByteQueue } from './byte-queue.js'

// Guards against a body that is taken as whole although more of it may come, or although it was cut off, and against credit that is never
// returned to the sender.
test('the rest of a body is taken without waiting only after its end has arrived', async (t) => {
  let credit = 0
  const queue = createByteQueue((bytes) => { credit += bytes })
  queue.push(Buffer.from('one '))
  t.is(queue.takeRest(), undefined)
  t.is(Buffer.from((await queue.read())!).toString(), 'one ')
  queue.push(Buffer.from('two '))
  queue.push(Buffer.from('three'))
  queue.end()
  t.is(Buffer.from(queue.takeRest()!).toString(), 'two three')
  t.is(credit, 13)
  t.is(queue.size(), 0)
  t.is(await queue.read(), undefined)

  const cut = createByteQueue(() => {})
  cut.push(Buffer.from('part'))
  cut.fail(new Error('cut'))
  t.is(cut.takeRest(), undefined)
})
