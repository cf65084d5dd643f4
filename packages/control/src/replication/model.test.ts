import test from 'ava'
import { checkRandomFaults } from './testing/model.js'

// Guards against every way to lose, reorder or repeat accepted entries, to have two leaders, or to serve stale reads as current.
for (const [size, seed] of [[3, 1], [3, 2], [5, 3]] as const) {
  test(`accepted entries survive random faults (${size} VMs, seed ${seed})`, async (t) => {
    await checkRandomFaults(size, seed, 12)
    t.pass()
  })
}
