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

// Guards against a log that grows with the load, and against lines that are left out without a trace.
test('each event is bounded, and the next line tells how many were left out', async (t) => {
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

// Guards against lines below the level that use up the bound of those above.
test('lines that the level hides are not counted', (t) => {
  const { lines, log } = createLog()
  for (let n = 0; n < 1000; n++) log.debug({ event: 'request', n }, 'request ended')
  log.info({ event: 'request' }, 'request failed')
  t.deepEqual(lines.map(({ msg, leftOut }) => ({ msg, leftOut })), [{ msg: 'request failed', leftOut: undefined }])
})
