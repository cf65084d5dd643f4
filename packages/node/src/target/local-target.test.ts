import test from 'ava'
import { createLocalTarget, type Announcement } from './local-target.js'

const announcement = (over: Partial<Announcement> = {}): Announcement => ({
  service: 'shop', port: 1, capacity: 10, state: 'ready', instance: 'i-1', startedMs: 5, ...over
})

// Guards against a rate limit that is forgotten when the target announces another capacity, or kept for another process at its address.
test('the listener is told whether the announced process is the same', (t) => {
  const target = createLocalTarget('127.0.0.1')
  const starts: Array<[number, boolean]> = []
  target.onStarted((capacity, sameProcess) => starts.push([capacity, sameProcess]))
  target.announce(announcement())
  target.announce(announcement())
  target.announce(announcement({ capacity: 20 }))
  target.announce(announcement({ port: 2, capacity: 20 }))
  target.announce(announcement({ startedMs: 6 }))
  target.announce(announcement({ startedMs: 6, instance: 'i-2' }))
  t.deepEqual(starts, [[10, false], [20, true], [20, true], [10, false], [10, false]])
})
