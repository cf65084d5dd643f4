import test from 'ava'
import { createStallLog } from './stall-log.js'

// Guards against a process that did not read its sockets for a while, and whose log does not tell whether it was busy or did not run.
test('a late period is logged with the processor time used in it', (t) => {
  const lines: object[] = []
  let usedMs = 0
  const cpuUsage = (before = { user: 0, system: 0 }) => ({ user: usedMs * 1000 - before.user, system: 0 })
  const logStall = createStallLog({ info: (fields: object) => { lines.push(fields) } }, cpuUsage)
  usedMs += 40
  logStall(20)
  usedMs += 700
  logStall(900)
  t.deepEqual(lines, [{ event: 'stalled', lateMs: 900, cpuMs: 700 }])
})
