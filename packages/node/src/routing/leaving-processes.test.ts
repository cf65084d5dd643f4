import test from 'ava'
import { createLeavingProcesses } from './leaving-processes.js'

// Guards against memory that grows with every VM that ever had a leaving target.
test('the last leaving process of each VM is remembered, for a bounded number of VMs', (t) => {
  const leaving = createLeavingProcesses()
  leaving.record('a', 1)
  leaving.record('a', 2)
  t.is(leaving.of('a'), 2)
  t.is(leaving.of('b'), undefined)
  for (let i = 0; i < 10_000; i++) leaving.record(`vm-${i}`, i)
  t.is(leaving.of('a'), undefined)
  t.is(leaving.of('vm-9999'), 9999)
})
