import test from 'ava'
import { createCanceller } from './cancel.js'

// Guards against work that goes on after it was cancelled, and against a listener that is called twice or after its removal.
test('a cancelled signal calls each listener once, and none that was removed or came later', (t) => {
  const { signal, abort } = createCanceller()
  const called: string[] = []
  const removed = () => { called.push('removed') }
  const removedByOther = () => { called.push('removed by another listener') }
  signal.addEventListener('abort', removed)
  signal.addEventListener('abort', () => {
    called.push('first')
    signal.removeEventListener('abort', removedByOther)
    abort()
  })
  signal.addEventListener('abort', removedByOther)
  signal.addEventListener('abort', () => { called.push('last') })
  signal.removeEventListener('abort', removed)
  t.false(signal.aborted)
  abort()
  abort()
  t.true(signal.aborted)
  signal.addEventListener('abort', () => { called.push('late') })
  t.deepEqual(called, ['first', 'last'])
})
