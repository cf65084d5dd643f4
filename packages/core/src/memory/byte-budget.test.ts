import test from 'ava'
import { createByteBudget } from './byte-budget.js'

const nextTurn = () => new Promise((resolve) => { setImmediate(resolve) })

// Guards against memory that grows with the number of large bodies in work, and against tasks that wait for ever or overtake each other.
test('tasks run in order while their bytes fit, and one above the limit runs alone', async (t) => {
  const budget = createByteBudget(100)
  const running = new Set<string>()
  const ends = new Map<string, (failed: boolean) => void>()
  const start = (name: string, bytes: number) => budget.run(bytes, async () => {
    running.add(name)
    const failed = await new Promise<boolean>((resolve) => { ends.set(name, resolve) })
    running.delete(name)
    if (failed) throw new Error(name)
  })
  const end = async (name: string, failed = false) => {
    ends.get(name)!(failed)
    await nextTurn()
  }
  const tasks = [start('a', 60), start('b', 40), start('c', 30), start('d', 500), start('e', 10)]
  const settled = Promise.allSettled(tasks)
  await nextTurn()
  t.deepEqual([...running], ['a', 'b'])
  await end('b', true)
  t.deepEqual([...running], ['a', 'c'])
  await end('a')
  t.deepEqual([...running], ['c'])
  await end('c')
  t.deepEqual([...running], ['d'])
  await end('d')
  t.deepEqual([...running], ['e'])
  await end('e')
  t.deepEqual((await settled).map(({ status }) => status), ['fulfilled', 'rejected', 'fulfilled', 'fulfilled', 'fulfilled'])
})
