import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { createProcessLog } from './process-log.js'

const SETTINGS = {
  log: { level: 'info' as const },
  vm: { id: 'v1', address: '127.0.0.1', region: 'r', failureDomain: 'd' },
  role: 'node' as const
}
type Line = { event?: string, n?: number, leftOut?: number, msg: string }

function createLog () {
  const clock = createFakeClock()
  const lines: Line[] = []
  const log = createProcessLog(SETTINGS, { clock, destination: { write: (text) => { lines.push(JSON.parse(text) as Line) } } })
  return { clock, lines, log }
}

// Guards against log volume that grows with the load, as when every request fails, and against suppressed lines that are not counted.
test('each event is rate-limited, and its next line gives the number of suppressed lines', async (t) => {
  const { clock, lines, log } = createLog()
  for (let n = 0; n < 1000; n++) log.info({ event: 'request', n }, 'request failed')
  t.is(lines.length, 100)
  log.info({ event: 'target' }, 'another event')
  t.is(lines.at(-1)?.event, 'target')
  await clock.advance(1000)
  for (let n = 0; n < 1000; n++) log.info({ event: 'request', n }, 'request failed')
  const later = lines.slice(101)
  t.is(later.length, 20)
  t.is(later[0]?.leftOut, 900)
  t.is(later[1]?.leftOut, undefined)
})

// Guards against suppressing lines that are logged because lines below the log level count towards the same limit.
test('lines below the log level do not count towards the limit', (t) => {
  const { lines, log } = createLog()
  for (let n = 0; n < 1000; n++) log.debug({ event: 'request', n }, 'request ended')
  log.info({ event: 'request' }, 'request failed')
  t.deepEqual(lines.map(({ msg, leftOut }) => ({ msg, leftOut })), [{ msg: 'request failed', leftOut: undefined }])
})
