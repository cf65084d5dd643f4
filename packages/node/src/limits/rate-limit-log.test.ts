import test from 'ava'
import { createFakeClock } from '@orioleslip/core'
import { createRateLimitLog } from './rate-limit-log.js'

// Guards against logs that can't tell a target that got too many calls from one that named another limit than thought.
test('the log tells which limit is named and how many calls the target was sent meanwhile', async (t) => {
  const clock = createFakeClock()
  const lines: Array<Record<string, unknown>> = []
  const write = (fields: unknown) => { lines.push(fields as Record<string, unknown>) }
  const limitLog = createRateLimitLog({ clock, log: { info: write } as never })
  limitLog.noticed('i-1', { kind: 'none' })
  t.deepEqual(lines, [])
  for (let i = 0; i < 30; i++) {
    limitLog.sent()
    await clock.advance(100)
    limitLog.noticed('i-1', { kind: 'named', perSecond: 20 })
  }
  limitLog.noticed('i-1', { kind: 'malformed', text: '-1' })
  limitLog.noticed('i-1', { kind: 'none' })
  t.deepEqual(lines.map(({ kind, perSecond, text, sent, periodMs }) => [kind, perSecond ?? text, sent, periodMs]), [
    ['named', 20, 1, 100], ['named', 20, 10, 1000], ['named', 20, 10, 1000], ['malformed', '-1', 9, 900], ['none', undefined, 0, 0]
  ])
})
