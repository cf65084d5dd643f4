import test from 'ava'
import { createNoticeReader } from './target-notices.js'

const read = createNoticeReader({ rateLimit: 'x-limit', leaving: 'x-leaving' })

// Guards against a limit that is taken from text that is no decimal number, which would stop or flood the target.
test('a rate limit is a decimal number; anything else is malformed', (t) => {
  for (const [text, perSecond] of [['17.8', 17.8], ['0', 0], ['22', 22], [' 5 ', 5], ['1' + '0'.repeat(300), 1e300]] as const) {
    t.deepEqual(read(['a', 'b', 'x-limit', text]).rateLimit, { kind: 'named', perSecond }, text)
  }
  for (const text of ['', '-1', '+1', '1e3', '0x10', 'NaN', 'Infinity', '1,5', '5 6', '.5', '5.', '9'.repeat(400)]) {
    t.deepEqual(read(['x-limit', text]).rateLimit, { kind: 'malformed', text }, text)
  }
  t.deepEqual(read(['a', 'b']).rateLimit, { kind: 'none' })
})

// Guards against the higher of two limits being taken when a target or something in front of it adds a second header.
test('of several limits the lowest counts, and a malformed one among them makes all malformed', (t) => {
  t.deepEqual(read(['x-limit', '9', 'x-limit', '7.5']).rateLimit, { kind: 'named', perSecond: 7.5 })
  t.deepEqual(read(['x-limit', '9', 'x-limit', 'nine']).rateLimit, { kind: 'malformed', text: '9, nine' })
})

// Guards against a target that is taken out of use because of another value of the header.
test('a target is leaving only if the header is 1', (t) => {
  t.true(read(['x-leaving', '1']).leaving)
  t.true(read(['x-leaving', '0', 'x-leaving', '1']).leaving)
  for (const text of ['0', '', 'true', '2']) t.false(read(['x-leaving', text]).leaving, text)
})
