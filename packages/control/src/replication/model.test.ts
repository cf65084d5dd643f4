import test from 'ava'
import { checkRandomFaults } from './testing/model.js'

// Guards against accepted entries that are lost, reordered or repeated, against two leaders at once, and against stale reads served as
// current: random sequences of proposals, reads, restarts, lost or damaged disks, freezes and network faults provoke them.
for (const [size, seed] of [[3, 1], [3, 2], [5, 3]] as const) {
  test(`accepted entries survive random faults (${size} VMs, seed ${seed})`, async (t) => {
    await checkRandomFaults(size, seed, 12)
    t.pass()
  })
}
